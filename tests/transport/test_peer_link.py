"""Peer links over real ZeroMQ sockets, with faulty and hostile senders."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import pytest
import zmq

from teaselrock.protocol import MessageCodec
from teaselrock.protocol.codec import MAX_MESSAGE_BYTES
from teaselrock.state import AvailabilityZone
from teaselrock.state import Instance
from teaselrock.transport.zmq_peer_link import CurveKeys
from teaselrock.transport.zmq_peer_link import ZmqPeerLink

ZONE = AvailabilityZone('east', 'a')


class Note(NamedTuple):
    """A message of the test."""

    text: str


KINDS = {1: Note}


class _Receiver:
    """A receiver with its address and keys, and the invalid frames it got."""

    def __init__(self, port: int) -> None:
        self.keys = CurveKeys(*zmq.curve_keypair())
        self.own = Instance('gw-1', ZONE, f'tcp://127.0.0.1:{port}')
        self.invalid: list[str] = []
        self.link = self.member('gw-1', self.own.address)

    def member(self, name: str, address: str) -> ZmqPeerLink:
        """Another link with the fleet's keys."""
        return ZmqPeerLink(
            own=Instance(name, ZONE, address),
            keys=self.keys,
            codec=MessageCodec(kinds=KINDS),
            on_invalid=self.invalid.append,
        )

    def raw(
        self, context: zmq.Context[zmq.Socket[bytes]], keys: CurveKeys
    ) -> zmq.Socket[bytes]:
        """A socket that sends any frames, with the given client keys."""
        sender = context.socket(zmq.DEALER)
        sender.linger = 0
        sender.curve_serverkey = self.keys.public
        sender.curve_publickey = keys.public
        sender.curve_secretkey = keys.secret
        sender.connect(self.own.address)
        return sender


async def _receive_after(
    receiver: _Receiver, frames: list[list[bytes]], keys: CurveKeys
) -> tuple[str, NamedTuple]:
    """Send raw frames, then a valid message; return what was received."""
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    peer = receiver.member('gw-2', 'tcp://127.0.0.1:0')
    await receiver.link.start()
    sender = receiver.raw(context, keys)
    try:
        for parts in frames:
            sender.send_multipart(parts)
        waiting = asyncio.ensure_future(receiver.link.receive())
        if keys == receiver.keys:
            # Frames of one socket arrive in order.
            sender.send(b'\x01\x91\xa4last')
        else:
            peer.connect(peer=receiver.own)
            assert peer.send(to='gw-1', message=Note('last'))
        return await asyncio.wait_for(waiting, 5)
    finally:
        sender.close()
        context.term()
        peer.close()
        receiver.link.close()


@pytest.mark.parametrize(
    ('parts', 'problem'),
    [
        ([b''], 'unknown message kind'),
        ([b'\xff\x90'], 'unknown message kind'),
        ([b'\x01garbage'], 'Expected `array`'),
        ([b'\x01\x91'], 'truncated'),
        ([b'\x01\x91\x05'], 'Expected `str`'),
        ([b'\x01', b'\x91'], '3 frames'),
    ],
)
def test_invalid_frames(
    parts: list[bytes], problem: str, free_port: Callable[[], int]
) -> None:
    """Guards against a malformed frame that ends the receiving task.

    Each must be reported, and the next valid message received.
    """
    receiver = _Receiver(free_port())
    _, message = asyncio.run(
        _receive_after(receiver, [parts] * 3, receiver.keys)
    )
    assert message == Note('last')
    assert len(receiver.invalid) == 3
    assert all(problem in detail for detail in receiver.invalid)


def test_forged_key(free_port: Callable[[], int]) -> None:
    """Guards against messages from senders without the fleet's key."""
    receiver = _Receiver(free_port())
    forged = CurveKeys(*zmq.curve_keypair())
    frames = [[b'\x01\x91\xa6forged']] * 3
    sender, message = asyncio.run(_receive_after(receiver, frames, forged))
    assert (sender, message) == ('gw-2', Note('last'))
    assert receiver.invalid == []


async def _oversized(receiver: _Receiver) -> tuple[str, NamedTuple]:
    """Send a frame that is too large, then a valid message from a peer.

    ZeroMQ drops the connection of the first sender.
    """
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    peer = receiver.member('gw-2', 'tcp://127.0.0.1:0')
    await receiver.link.start()
    sender = receiver.raw(context, receiver.keys)
    try:
        sender.send(b'\x01' + b'x' * (2 * MAX_MESSAGE_BYTES))
        peer.connect(peer=receiver.own)
        assert peer.send(to='gw-1', message=Note('last'))
        return await asyncio.wait_for(receiver.link.receive(), 5)
    finally:
        sender.close()
        context.term()
        peer.close()
        receiver.link.close()


def test_oversized_frame(free_port: Callable[[], int]) -> None:
    """Guards against oversized frames that use up the receiver's memory."""
    sender, message = asyncio.run(_oversized(_Receiver(free_port())))
    assert (sender, message) == ('gw-2', Note('last'))
