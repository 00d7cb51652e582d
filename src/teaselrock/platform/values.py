"""Checks of JSON values that `documents`, `settings` and `store` share."""

import ipaddress
import re
from typing import Any
from typing import Final

# Exceptions that reading a document of an unexpected structure raises;
# `OverflowError` for a number that is too large for a float.
MALFORMED_ERRORS: Final = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)
# Larger numbers cannot be sent to other instances.
MAX_WHOLE_NUMBER: Final = 2**63 - 1
MAX_PORT: Final = 65535
_PORT: Final = re.compile(r'[0-9]{1,5}')
# Printable ASCII without the space: names become values of header fields.
_NAME: Final = re.compile(r'[!-~]{1,256}')


def non_empty_text(value: Any) -> str:
    """Return the value if it is a non-empty string, or raise `TypeError`."""
    if not isinstance(value, str) or not value:
        raise TypeError('must be a non-empty string')
    return value


def whole_number(value: Any, *, minimum: int = 0) -> int:
    """Return a whole number in range, or raise `TypeError` or `ValueError`.

    A float with a whole value counts, a JSON boolean does not.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError('must be a number')
    number = int(value)
    if number != value or not minimum <= number <= MAX_WHOLE_NUMBER:
        raise ValueError(f'must be a whole number from {minimum}')
    return number


def header_name(value: Any) -> str:
    """Return a name that may stand in a header field, or raise."""
    text = non_empty_text(value)
    if not _NAME.fullmatch(text):
        raise ValueError('must be printable ASCII without spaces')
    return text


def ip_address(value: Any) -> str:
    """Return `IP:PORT` if it is valid, or raise `TypeError`, `ValueError`."""
    text = non_empty_text(value)
    host, _, port = text.rpartition(':')
    ipaddress.IPv4Address(host)
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError('must end in a port')
    return text
