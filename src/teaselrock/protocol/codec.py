"""Encoding of peer messages: one kind byte and a msgpack array.

The array of some kinds is compressed with zlib. `messages` and
`relay_messages` hold the tables from kind to `NamedTuple` type. A frame that
does not match its type gives an error value, never an exception.
"""

from collections.abc import Mapping
from typing import Any
from typing import Final
from typing import NamedTuple
import zlib

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from teaselrock.protocol.decode_errors import DECODE_ERRORS

MAX_MESSAGE_BYTES: Final = 65536
# Higher levels take several times as long, for a few percent.
_COMPRESSION_LEVEL: Final = 1


class DecodeError(NamedTuple):
    """Reason why a frame cannot be decoded."""

    detail: str


class MessageCodec:
    """Encodes the message types of a table from kind to type.

    `max_bytes` limits messages before compression. Messages of the kinds in
    `compressed_kinds` are compressed.
    """

    def __init__(
        self,
        *,
        kinds: Mapping[int, type],
        max_bytes: int = MAX_MESSAGE_BYTES,
        compressed_kinds: frozenset[int] = frozenset(),
    ) -> None:
        self._max_bytes = max_bytes
        self._compressed_kinds = compressed_kinds
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
        payload = self._encoder.encode(message)
        if kind in self._compressed_kinds:
            payload = zlib.compress(payload, _COMPRESSION_LEVEL)
        return bytes((kind,)) + payload

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
        payload = frame[1:]
        try:
            if frame[0] in self._compressed_kinds:
                payload = self._decompress(payload)
            return Ok(decoder.decode(payload))
        except (*DECODE_ERRORS, zlib.error) as error:
            return Error(DecodeError(str(error)))

    def _decompress(self, payload: bytes) -> bytes:
        """Decompress up to the size limit; raises `zlib.error`."""
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(payload, self._max_bytes)
        if not decompressor.eof:
            raise zlib.error(
                f'incomplete, or more than {self._max_bytes} bytes'
            )
        return data
