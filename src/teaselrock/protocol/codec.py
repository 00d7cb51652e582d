"""Encoding of peer messages: one kind byte and a msgpack array.

`messages` and `relay_messages` hold the tables from kind to `NamedTuple`
type. A frame that does not match its type gives an error value, never an
exception.
"""

from collections.abc import Mapping
from typing import Any
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from teaselrock.protocol.decode_errors import DECODE_ERRORS

MAX_MESSAGE_BYTES: Final = 65536


class DecodeError(NamedTuple):
    """Reason why a frame cannot be decoded."""

    detail: str


class MessageCodec:
    """Encodes the message types of a table from kind to type."""

    def __init__(
        self,
        *,
        kinds: Mapping[int, type],
        max_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        self._max_bytes = max_bytes
        self._encoder = msgspec.msgpack.Encoder()
        self._kinds_by_type = {
            message_type: kind for kind, message_type in kinds.items()
        }
        self._decoders_by_kind: dict[int, msgspec.msgpack.Decoder[Any]] = {
            kind: msgspec.msgpack.Decoder(message_type)
            for kind, message_type in kinds.items()
        }

    def encode(self, message: NamedTuple) -> bytes:
        """Encode a message; its type must be in the table."""
        kind = self._kinds_by_type[type(message)]
        return bytes((kind,)) + self._encoder.encode(message)

    def decode(self, frame: bytes) -> Result[NamedTuple, DecodeError]:
        """Decode a frame that a peer sent."""
        if len(frame) > self._max_bytes:
            return Error(
                DecodeError(
                    f'frame of {len(frame)} bytes exceeds '
                    f'{self._max_bytes} bytes'
                )
            )
        decoder = self._decoders_by_kind.get(frame[0]) if frame else None
        if decoder is None:
            return Error(DecodeError(f'unknown message kind {frame[:1]!r}'))
        try:
            return Ok(decoder.decode(frame[1:]))
        except DECODE_ERRORS as error:
            return Error(DecodeError(str(error)))
