"""ZeroMQ links between instances, with CURVE authentication.

Implements `PeerLink`. One ROUTER socket receives; one DEALER socket for each
peer sends. Frames that cannot be decoded are counted and dropped, so
`coordination` receives only typed messages.
"""

import asyncio
from collections.abc import Callable
from typing import Final
from typing import NamedTuple

import zmq
import zmq.asyncio
import zmq.auth.asyncio

from teaselrock.protocol import MessageCodec
from teaselrock.protocol.codec import MAX_MESSAGE_BYTES
from teaselrock.state import Instance

# Messages beyond these queues are dropped; the send queue is for each peer.
SEND_QUEUE_MESSAGES: Final = 1000
RECEIVE_QUEUE_MESSAGES: Final = 4000


class CurveKeys(NamedTuple):
    """CURVE key pair that all instances share, in Z85 as in the settings."""

    public: bytes
    secret: bytes


class ZmqPeerLink:
    """`PeerLink` over ZeroMQ."""

    def __init__(
        self,
        *,
        own: Instance,
        keys: CurveKeys,
        codec: MessageCodec,
        on_invalid: Callable[[str], None],
    ) -> None:
        self._own = own
        self._keys = keys
        self._codec = codec
        self._on_invalid = on_invalid
        self._context = zmq.asyncio.Context()
        self._senders: dict[str, zmq.Socket[bytes]] = {}
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
            self._context
        )
        self._receiver: zmq.asyncio.Socket = self._context.socket(zmq.ROUTER)

    async def start(self) -> None:
        """Bind the peer port; raises `OSError` if it cannot be bound."""
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain='*', credentials_provider=_SharedKey(self._keys.public)
        )
        receiver = self._receiver
        receiver.curve_server = True
        receiver.curve_publickey = self._keys.public
        receiver.curve_secretkey = self._keys.secret
        receiver.rcvhwm = RECEIVE_QUEUE_MESSAGES
        receiver.maxmsgsize = MAX_MESSAGE_BYTES
        receiver.linger = 0
        try:
            receiver.bind(self._own.address)
        except zmq.ZMQError as error:
            raise OSError(error.errno, str(error)) from error

    def close(self) -> None:
        """Close all sockets."""
        self._authenticator.stop()
        for sender in self._senders.values():
            sender.close()
        self._receiver.close()
        self._context.term()

    def connect(self, *, peer: Instance) -> None:
        """Open a sending socket to `peer` if there is none yet."""
        if peer.instance_id in self._senders:
            return
        # Not an asyncio socket: a send queues or drops the message at once.
        sender = zmq.Socket(self._context, zmq.DEALER)
        sender.curve_serverkey = self._keys.public
        sender.curve_publickey = self._keys.public
        sender.curve_secretkey = self._keys.secret
        sender.sndhwm = SEND_QUEUE_MESSAGES
        sender.linger = 0
        sender.identity = self._own.instance_id.encode()
        sender.connect(peer.address)
        self._senders[peer.instance_id] = sender

    def disconnect(self, *, instance_id: str) -> None:
        """Drop the link to a peer."""
        sender = self._senders.pop(instance_id, None)
        if sender is not None:
            sender.close()

    def send(self, *, to: str, message: NamedTuple) -> int:
        """Queue a message; returns its size in bytes, 0 if dropped."""
        sender = self._senders.get(to)
        if sender is None:
            return 0
        frame = self._codec.encode(message)
        try:
            sender.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            return 0
        return len(frame)

    async def receive(self) -> tuple[str, NamedTuple]:
        """Wait for the next valid message."""
        while True:
            frames = await self._receiver.recv_multipart()
            error = f'peer message of {len(frames)} frames, expected 2'
            if len(frames) == 2:
                decoded = self._codec.decode(frames[1])
                if decoded.is_ok():
                    return frames[0].decode(errors='replace'), decoded.ok
                error = decoded.error.detail
            self._on_invalid(error)
            # Many invalid frames in a row must not block the event loop.
            await asyncio.sleep(0)


class _SharedKey:
    """CURVE credentials provider that accepts only the shared key."""

    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Check the client's public key, in Z85, at each handshake."""
        return key == self._public
