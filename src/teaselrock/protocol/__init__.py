"""Protocol layer: encoding of messages, headers, problems and documents."""

from teaselrock.protocol.codec import DecodeError
from teaselrock.protocol.codec import MessageCodec

__all__ = ('DecodeError', 'MessageCodec')
