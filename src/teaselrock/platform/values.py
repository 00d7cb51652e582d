"""Checks of JSON values that `documents`, `settings` and `store` share."""

from typing import Any
from typing import Final

# Exceptions that reading a document of an unexpected structure raises.
MALFORMED_ERRORS: Final = (KeyError, TypeError, ValueError, AttributeError)


def non_empty_text(value: Any) -> str:
    """Return the value if it is a non-empty string, or raise `TypeError`."""
    if not isinstance(value, str) or not value:
        raise TypeError('must be a non-empty string')
    return value
