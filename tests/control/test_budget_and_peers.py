"""The control budget and the tasks of peers."""

import asyncio
import random
from typing import NamedTuple

from teaselrock.coordination.control_budget import BudgetRates
from teaselrock.coordination.control_budget import ControlBudget
from teaselrock.coordination.control_budget import Priority
from teaselrock.coordination.peers import INBOX_MESSAGES
from teaselrock.coordination.peers import MAX_UNKNOWN_SENDERS
from teaselrock.coordination.peers import PeerHub
from teaselrock.standins.clock import run_paused
from teaselrock.standins.network import MemoryNetwork
from teaselrock.state import AvailabilityZone
from teaselrock.state import Instance


class Probe(NamedTuple):
    """A message of the lowest priority."""

    number: int


class Drain(NamedTuple):
    """A message of the highest priority."""

    number: int


RATES = BudgetRates(
    messages_per_s=100,
    total_bytes_per_s=1000,
    cross_region_bytes_per_s=100,
    burst_s=1,
)


def _instance(name: str, region: str) -> Instance:
    return Instance(name, AvailabilityZone(region, 'a'), f'memory:{name}')


def _hubs() -> tuple[MemoryNetwork, list[PeerHub]]:
    network = MemoryNetwork(kinds={1: Probe, 2: Drain}, rng=random.Random(1))
    places = [
        _instance('one', 'east'),
        _instance('two', 'east'),
        _instance('far', 'west'),
    ]
    hubs = []
    for own in places:
        hub = PeerHub(
            own=own,
            link=network.link(own=own),
            budget=ControlBudget(rates=RATES),
        )
        hub.set_priorities(
            priorities={Probe: Priority.PROBES, Drain: Priority.FACTS}
        )
        for peer in places:
            hub.connect(peer=peer)
        hub.start()
        hubs.append(hub)
    return network, hubs


def test_facts_pass_when_the_budget_is_scarce() -> None:
    """Guards against probes that use up the budget of drain facts."""

    async def scenario() -> None:
        network, (hub, _, _) = _hubs()
        sent = sum(
            hub.send(to='two', message=Probe(number)) for number in range(500)
        )
        assert sent == 60
        assert hub.counters.over_budget == 440
        assert hub.send(to='two', message=Drain(1))
        await asyncio.sleep(60)
        total = 0
        for _ in range(100):
            total += sum(
                hub.send(to='two', message=Drain(n)) for n in range(100)
            )
            await asyncio.sleep(0.1)
        # Facts may use the full bucket, go into debt by as much, and get
        # what refills.
        assert total <= 100 + 100 + 1000
        assert hub.counters.sent_bytes == network.sent_bytes['one']

    run_paused(scenario())


def test_cross_region_bytes_are_limited_apart() -> None:
    """Guards against traffic between regions beyond its own budget."""

    async def scenario() -> None:
        network, (hub, _, _) = _hubs()
        for number in range(200):
            hub.send(to='far', message=Probe(number))
        assert 0 < network.cross_region_bytes['one'] <= 60 + 8
        assert (
            hub.counters.cross_region_bytes
            == (network.cross_region_bytes['one'])
        )
        assert hub.send(to='two', message=Probe(1))

    run_paused(scenario())


def test_messages_of_one_peer_stay_in_order() -> None:
    """Guards against reordering, and a handler that ends the peer's task."""

    async def scenario() -> None:
        _, (one, two, _) = _hubs()
        seen: list[int] = []

        def handler(*, sender: str, message: Probe) -> None:
            assert sender == 'one'
            seen.append(message.number)
            if message.number == 3:
                raise ValueError('a fault in a handler')

        two.register_handler(message_type=Probe, handler=handler)
        for number in range(6):
            one.send(to='two', message=Probe(number))
            await asyncio.sleep(0.01)
        assert seen == list(range(6))
        assert two.counters.failed_handlers == 1
        two.disconnect(instance_id='one')
        await one.stop()
        await two.stop()

    run_paused(scenario())


def test_floods_are_bounded() -> None:
    """Guards against memory that a flood of messages or senders takes."""

    async def scenario() -> None:
        network, (hub, _, _) = _hubs()
        link = network.link(own=_instance('own', 'east'))
        flooded = PeerHub(
            own=_instance('own', 'east'),
            link=link,
            budget=ControlBudget(),
        )
        flooded.start()
        for _ in range(INBOX_MESSAGES + 50):
            link.deliver('one', Probe(1))
        await asyncio.sleep(0.1)
        assert flooded.counters.dropped_at_inbox == 50
        before = len(asyncio.all_tasks())
        for number in range(3 * MAX_UNKNOWN_SENDERS):
            link.deliver(f'unknown-{number}', Probe(1))
            await asyncio.sleep(0.01)
        assert len(asyncio.all_tasks()) - before < MAX_UNKNOWN_SENDERS
        await flooded.stop()
        await hub.stop()

    run_paused(scenario())
