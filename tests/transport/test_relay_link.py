"""Connections between the instances of a region, over real sockets."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from free_ports import find_free_ports
from teaselrock.coordination.ports import RelayChannel
from teaselrock.coordination.ports import StorePosition
from teaselrock.coordination.registry.messages import FollowRequest
from teaselrock.coordination.registry.messages import MirrorPositions
from teaselrock.transport.relay_link import StreamRelayLink

POSITION = StorePosition(1, 7)
# More than the socket buffers of both sides hold.
LARGE = FollowRequest(
    'x' * 3_000_000, MirrorPositions(POSITION, POSITION, POSITION)
)

Scenario = Callable[[RelayChannel, RelayChannel], Awaitable[None]]


def _run(scenario: Scenario) -> None:
    """Run with both ends of a connection."""

    async def main() -> None:
        (port,) = find_free_ports(1)
        invalid: list[str] = []
        link = StreamRelayLink(
            host='127.0.0.1', port=port, on_invalid=invalid.append
        )
        accepted: asyncio.Queue[RelayChannel] = asyncio.Queue()
        ended = asyncio.Event()

        async def on_channel(channel: RelayChannel) -> None:
            accepted.put_nowait(channel)
            await ended.wait()

        await link.serve(on_channel=on_channel)
        channel = await link.connect(address=f'127.0.0.1:{port}')
        assert channel is not None
        await scenario(channel, await accepted.get())
        ended.set()
        channel.close()
        link.close()
        assert invalid == []

    asyncio.run(main())


def test_drain_waits_for_the_receiver() -> None:
    """Guards against a limit on sends that counts queued ones as sent."""

    async def scenario(sender: RelayChannel, receiver: RelayChannel) -> None:
        assert sender.send(LARGE)
        draining = asyncio.create_task(sender.drain())
        await asyncio.sleep(0.1)
        assert not draining.done()
        async with asyncio.timeout(10):
            assert await receiver.receive() == LARGE
            await draining

    _run(scenario)


def test_drain_ends_with_the_connection() -> None:
    """Guards against a send that waits for a receiver which has gone."""

    async def scenario(sender: RelayChannel, receiver: RelayChannel) -> None:
        assert sender.send(LARGE)
        draining = asyncio.create_task(sender.drain())
        receiver.close()
        async with asyncio.timeout(10):
            await draining

    _run(scenario)
