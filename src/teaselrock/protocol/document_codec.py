"""JSON encoding of the values that instances store.

Implements `DocumentCodec`.

JSON keeps stored objects readable for operators who inspect the store.
"""

from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from teaselrock.coordination.ports import DocumentError
from teaselrock.protocol.decode_errors import DECODE_ERRORS


class JsonDocumentCodec:
    """`DocumentCodec` that uses the JSON codec of msgspec."""

    def encode(self, *, value: Any) -> bytes:
        """Encode a value as JSON."""
        return msgspec.json.encode(value)

    def decode(
        self, *, data: bytes, value_type: Any
    ) -> Result[Any, DocumentError]:
        """Decode JSON and validate it against a type."""
        try:
            return Ok(msgspec.json.decode(data, type=value_type))
        except DECODE_ERRORS as error:
            return Error(DocumentError(str(error)))
