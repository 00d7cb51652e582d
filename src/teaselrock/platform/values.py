"""Values of decoded JSON, as `documents`, `settings` and `store` need them."""

from typing import Any
from typing import Final

# What reading a document of the wrong shape raises.
MALFORMED: Final = (KeyError, TypeError, ValueError, AttributeError)


def text(value: Any) -> str:
    """A text that is not empty; raises `TypeError` otherwise."""
    if not isinstance(value, str) or not value:
        raise TypeError('must be a text')
    return value
