"""The budget of control traffic, and the inbox tasks of peers."""

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


class LowPriorityMessage(NamedTuple):
    """A message of the lowest priority."""

    number: int


class HighPriorityMessage(NamedTuple):
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
    network = MemoryNetwork(
        kinds={1: LowPriorityMessage, 2: HighPriorityMessage},
        rng=random.Random(1),
    )
    instances = [
        _instance('first', 'east'),
        _instance('second', 'east'),
        _instance('far', 'west'),
    ]
    hubs = []
    for own in instances:
        hub = PeerHub(
            own=own,
            link=network.link(own=own),
            budget=ControlBudget(rates=RATES),
        )
        hub.set_priorities(
            priorities={
                LowPriorityMessage: Priority.PROBES,
                HighPriorityMessage: Priority.FACTS,
            }
        )
        for peer in instances:
            hub.connect(peer=peer)
        hub.start()
        hubs.append(hub)
    return network, hubs


def test_facts_are_sent_when_the_budget_is_used_up() -> None:
    """Guards against probes that use up the budget of drain facts.

    Only messages of the highest priority may exceed the budget.
    """

    async def scenario() -> None:
        network, (hub, _, _) = _hubs()
        sent_count = sum(
            hub.send(to='second', message=LowPriorityMessage(number))
            for number in range(500)
        )
        assert sent_count == 60
        assert hub.counters.over_budget == 440
        assert hub.send(to='second', message=HighPriorityMessage(1))
        await asyncio.sleep(60)
        sent_count = 0
        for _ in range(100):
            sent_count += sum(
                hub.send(to='second', message=HighPriorityMessage(n))
                for n in range(100)
            )
            await asyncio.sleep(0.1)
        # Facts may use the full bucket, overdraw it by as much, and use the
        # refill of 10 s.
        assert sent_count <= 100 + 100 + 1000
        assert hub.counters.sent_bytes == network.sent_bytes['first']

    run_paused(scenario())


def test_cross_region_bytes_have_their_own_budget() -> None:
    """Guards against traffic between regions above its own budget.

    Traffic within the region must still be sent.
    """

    async def scenario() -> None:
        network, (hub, _, _) = _hubs()
        for number in range(200):
            hub.send(to='far', message=LowPriorityMessage(number))
        assert 0 < network.cross_region_bytes['first'] <= 60 + 8
        assert (
            hub.counters.cross_region_bytes
            == (network.cross_region_bytes['first'])
        )
        assert hub.send(to='second', message=LowPriorityMessage(1))

    run_paused(scenario())


def test_messages_of_one_peer_stay_in_order() -> None:
    """Guards against reordered messages, and a task that a handler ends.

    The handler raises an exception for one of the messages.
    """

    async def scenario() -> None:
        _, (first, second, _) = _hubs()
        received: list[int] = []

        def handler(*, sender: str, message: LowPriorityMessage) -> None:
            assert sender == 'first'
            received.append(message.number)
            if message.number == 3:
                raise ValueError('a fault in a handler')

        second.register_handler(
            message_type=LowPriorityMessage, handler=handler
        )
        for number in range(6):
            first.send(to='second', message=LowPriorityMessage(number))
            await asyncio.sleep(0.01)
        assert received == list(range(6))
        assert second.counters.failed_handlers == 1
        second.disconnect(instance_id='first')
        await first.stop()
        await second.stop()

    run_paused(scenario())


def test_floods_are_limited() -> None:
    """Guards against memory use that grows with messages or senders.

    Messages arrive faster than they are handled, and from unknown senders.
    """

    async def scenario() -> None:
        network, (hub, _, _) = _hubs()
        link = network.link(own=_instance('own', 'east'))
        flooded_hub = PeerHub(
            own=_instance('own', 'east'),
            link=link,
            budget=ControlBudget(),
        )
        flooded_hub.start()
        for _ in range(INBOX_MESSAGES + 50):
            link.deliver('first', LowPriorityMessage(1))
        await asyncio.sleep(0.1)
        assert flooded_hub.counters.dropped_at_inbox == 50
        tasks_before = len(asyncio.all_tasks())
        for number in range(3 * MAX_UNKNOWN_SENDERS):
            link.deliver(f'unknown-{number}', LowPriorityMessage(1))
            await asyncio.sleep(0.01)
        assert len(asyncio.all_tasks()) - tasks_before < MAX_UNKNOWN_SENDERS
        await flooded_hub.stop()
        await hub.stop()

    run_paused(scenario())
