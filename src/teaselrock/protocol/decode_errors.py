"""Exceptions of the JSON and msgpack decoders for foreign input."""

from typing import Final

import msgspec

# `RecursionError` for a text that is nested too deeply, also within parts that
# the decoder skips.
DECODE_ERRORS: Final = (
    msgspec.DecodeError,
    RecursionError,
    UnicodeDecodeError,
)
