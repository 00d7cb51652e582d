"""Dissemination of configuration and facts over in-process links and store."""

import asyncio
import random

import pytest

from teaselrock.bench.control_fleet import ControlFleet
from teaselrock.bench.control_fleet import example_document
from teaselrock.coordination.dissemination import SERVER
from teaselrock.coordination.dissemination.in_force import ConfigurationInForce
from teaselrock.coordination.membership import MemberStatus
from teaselrock.standins.clock import run_paused
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state.configuration import Delta
from teaselrock.state.configuration import Document
from teaselrock.state.configuration import Edit

CHANGE_TARGET_S = 1.0
CHANGE_LIMIT_S = 4.0
OUT_OF_SERVICE_LIMIT_S = 2.0
# Time for which restarted instances are watched.
RESTART_WATCH_S = 10.0


def _with_weight(weight: int) -> Document:
    document = example_document()
    document['plans']['basic']['weight'] = weight
    return document


@pytest.mark.parametrize('seed', range(3))
def test_change_is_in_force_within_the_target(seed: int) -> None:
    """Guards against changes that are late or lost.

    1% of the messages are lost, and one pair of instances has no link.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=seed, loss=0.01)
        await fleet.start_all(15)
        fleet.network.cut('gw-1', 'gw-5')
        for weight in range(2, 12):
            version = await fleet.apply_document(_with_weight(weight))
            await fleet.wait_in_force(version, limit_s=CHANGE_TARGET_S)
            await asyncio.sleep(0.3)

    run_paused(scenario())


def test_zone_is_out_within_two_seconds() -> None:
    """Guards against requests to a zone that operators took out of service.

    The zone returns while the platform's list is unavailable.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=4, loss=0.01)
        fleet.platform.servers = tuple(
            BackendServer(
                f'desk-{index}',
                'desk',
                AvailabilityZone('east', 'ab'[index % 2]),
                f'10.0.0.{index}:80',
                99,
            )
            for index in range(4)
        )
        await fleet.start_all(12)
        admin = fleet.admin()
        zone = AvailabilityZone('east', 'a')
        current = (await admin.current()).ok
        result = await admin.set_zone(base=current, zone=zone, reason='power')
        assert result.ok.version == 2
        await fleet.wait_until(
            lambda: all(
                {server.zone.name for server in servers} == {'b'}
                and {server.concurrency for server in servers} == {3}
                for servers in (
                    node.directory.backend_servers(service='desk')
                    for node in fleet.control_planes.values()
                )
            ),
            limit_s=OUT_OF_SERVICE_LIMIT_S,
        )
        for node in fleet.control_planes.values():
            is_out = node.membership.own.zone == zone
            assert node.directory.is_ready is not is_out
        fleet.platform.is_down = True
        current = (await admin.current()).ok
        result = await admin.set_zone(base=current, zone=zone, reason=None)
        await fleet.wait_in_force(
            result.ok.version, limit_s=OUT_OF_SERVICE_LIMIT_S
        )
        for node in fleet.control_planes.values():
            assert len(node.directory.backend_servers(service='desk')) == 4
            assert node.directory.is_ready

    run_paused(scenario())


def test_store_outage_after_the_accepting_write() -> None:
    """Guards against a change that only the store has.

    The store fails right after it has accepted the change.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=5, loss=0.01)
        # The store fails waiting watches, too, so that only the operator's
        # command can announce the change.
        fleet.announces_changes = True
        await fleet.start_all(15)
        await asyncio.sleep(1)
        version = await fleet.apply_document(_with_weight(2))
        fleet.store.is_down = True
        await fleet.wait_in_force(version, limit_s=CHANGE_LIMIT_S)

    run_paused(scenario())


@pytest.mark.parametrize('failed_watcher_count', (2, 4))
def test_failed_watchers(failed_watcher_count: int) -> None:
    """Guards against a region that gets no changes without its own watchers.

    Watchers crash right before the change.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=6)
        await fleet.start_all(15)
        await asyncio.sleep(1)
        watchers = [
            name
            for name, node in fleet.control_planes.items()
            if node.configuration.is_watcher
        ]
        assert len(watchers) == 6
        for name in watchers[:failed_watcher_count]:
            fleet.store_clients[name].is_cut = True
            await fleet.kill(name)
        version = await fleet.apply_document(_with_weight(2))
        await fleet.wait_in_force(version, limit_s=CHANGE_LIMIT_S)

    run_paused(scenario())


@pytest.mark.parametrize('seed', range(3))
def test_start_during_a_store_outage(seed: int) -> None:
    """Guards against a start from the configuration of a stale peer.

    The peer was isolated while version 3 was accepted and is one of the
    seeds. The new instance must not serve an older version or revert.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=seed)
        await fleet.start_all(9)
        others = [name for name in fleet.control_planes if name != 'gw-0']
        fleet.cut_groups(['gw-0'], others)
        fleet.store_clients['gw-0'].is_cut = True
        await asyncio.sleep(4)
        for weight in (2, 3):
            await fleet.apply_document(_with_weight(weight))
        await asyncio.sleep(1)
        assert fleet.control_planes['gw-0'].configuration.version < 3
        fleet.store.is_down = True
        name = fleet.start_instance(9, seed_indexes=(0, 1))
        fleet.network.restore_all_links()
        node = fleet.control_planes[name]
        highest = 0
        for _ in range(400):
            await asyncio.sleep(0.02)
            assert node.configuration.version >= highest
            highest = node.configuration.version
            assert not node.directory.is_ready or highest == 3
        assert node.directory.is_ready
        assert node.configuration.document == _with_weight(3)
        assert fleet.control_planes['gw-0'].configuration.version == 3

    run_paused(scenario())


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize('reaches_store', (True, False))
def test_isolated_region_gets_changes(reaches_store: bool, seed: int) -> None:
    """Guards against an isolated region that keeps an old configuration.

    If it reaches the store, it gets a change within the target, otherwise
    within the limit after its links are restored.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=seed, loss=0.01)
        await fleet.start_all(15)
        west = fleet.in_region('west')
        others = [name for name in fleet.control_planes if name not in west]
        fleet.cut_groups(west, others)
        for name in west:
            fleet.store_clients[name].is_cut = not reaches_store
        # Watches in progress end within 20 s.
        await asyncio.sleep(25)
        version = await fleet.apply_document(_with_weight(2))
        if not reaches_store:
            await asyncio.sleep(5)
            assert fleet.control_planes[west[0]].configuration.version == 1
            fleet.network.restore_all_links()
        await fleet.wait_in_force(
            version,
            limit_s=CHANGE_TARGET_S if reaches_store else CHANGE_LIMIT_S,
        )

    run_paused(scenario())


def test_start_without_any_source_is_not_ready() -> None:
    """Guards against an instance that is ready without a configuration.

    The store is down and no peer has a configuration.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=7)
        fleet.store.is_down = True
        for index in range(3):
            fleet.start_instance(index)
        await asyncio.sleep(10)
        assert not any(
            node.directory.is_ready for node in fleet.control_planes.values()
        )
        fleet.store.is_down = False
        version = await fleet.apply_document(example_document())
        await fleet.wait_in_force(version, limit_s=CHANGE_LIMIT_S + 4)
        assert all(
            node.directory.is_ready for node in fleet.control_planes.values()
        )

    run_paused(scenario())


def test_large_document_reaches_a_starting_instance() -> None:
    """Guards against a start that fails for a large document.

    The document exceeds one message, and the store is down, so that it must
    come from peers.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=8, loss=0.01)
        await fleet.start_all(6)
        large = example_document()
        for index in range(600):
            large['customers'][f'customer-{index}'] = {
                'plan': 'basic',
                'key_sha256': [f'{index:064x}'],
            }
        version = await fleet.apply_document(large)
        await fleet.wait_in_force(version, limit_s=CHANGE_LIMIT_S)
        fleet.store.is_down = True
        name = fleet.start_instance(6)
        await fleet.wait_until(
            lambda: fleet.control_planes[name].directory.is_ready, limit_s=30
        )
        assert fleet.control_planes[name].configuration.document == large

    run_paused(scenario())


@pytest.mark.parametrize('seed', range(20))
def test_repeated_and_reordered_deltas(seed: int) -> None:
    """Guards against a version that reverts or is applied twice.

    Deltas arrive repeatedly and in random order.
    """

    async def scenario() -> None:
        rng = random.Random(seed)
        deltas = [
            Delta(
                number,
                f'author-{number}',
                (Edit('out_zones', 'east/a', {'reason': str(number)}),),
            )
            for number in range(1, 9)
        ]
        log = ConfigurationInForce()
        waiter = asyncio.create_task(log.wait_for(8))
        while log.version < 8:
            before = log.version
            batch = rng.choices(deltas, k=rng.randint(1, 4))
            log.apply_deltas(batch)
            assert log.version >= before
            if log.version:
                reason = log.document['out_zones']['east/a']['reason']
                assert reason == str(log.version)
        assert not log.apply_document(version=8, document=example_document())
        assert not log.apply_deltas(deltas)
        await waiter
        assert log.since(5) == tuple(deltas[5:])

    run_paused(scenario())


def test_facts_reach_all_despite_loss_and_cuts() -> None:
    """Guards against a drain that some instances never get.

    It is announced with 20% loss and an isolated region, so that digests
    must repair it.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=9, loss=0.2)
        # Digests cover only servers that the platform lists.
        fleet.platform.servers = tuple(
            BackendServer(
                f'desk-{index}',
                'desk',
                AvailabilityZone('east', 'a'),
                f'10.0.0.{index}:80',
                3,
            )
            for index in (1, 2)
        )
        await fleet.start_all(9, has_document=False)
        west = fleet.in_region('west')
        others = [name for name in fleet.control_planes if name not in west]
        fleet.cut_groups(west, others)
        await asyncio.sleep(1)
        fleet.control_planes['gw-0'].facts.announce(
            kind=SERVER, subject='desk-1', start_id='s1', is_leaving=True
        )
        fleet.control_planes[west[0]].facts.announce(
            kind=SERVER, subject='desk-2', start_id='s1', is_leaving=True
        )
        await asyncio.sleep(5)
        fleet.network.restore_all_links()
        fleet.network.set_loss(0.01)
        await fleet.wait_until(
            lambda: (
                len(
                    {
                        node.facts.digest
                        for node in fleet.control_planes.values()
                    }
                )
                == 1
            ),
            limit_s=15,
        )
        for node in fleet.control_planes.values():
            for subject in ('desk-1', 'desk-2'):
                fact = node.facts.get(kind=SERVER, subject=subject)
                assert fact is not None
                assert fact.is_leaving

    run_paused(scenario())


def test_drain_spreads_and_ends_with_a_restart() -> None:
    """Guards against requests to a draining server.

    A load report from before the drain arrives late and must not undo it;
    only a new start id does.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=10)
        server = BackendServer(
            'desk-1', 'desk', AvailabilityZone('east', 'a'), '10.0.0.1:80', 3
        )
        fleet.platform.servers = (server,)
        await fleet.start_all(9)

        def all_see_servers(count: int) -> bool:
            return all(
                len(node.directory.backend_servers(service='desk')) == count
                for node in fleet.control_planes.values()
            )

        facts = fleet.control_planes['gw-4'].facts
        await fleet.wait_until(lambda: all_see_servers(1), limit_s=2)
        for is_leaving in (True, False):
            facts.announce(
                kind=SERVER,
                subject='desk-1',
                start_id='s1',
                is_leaving=is_leaving,
            )
            await fleet.wait_until(
                lambda: all_see_servers(0), limit_s=OUT_OF_SERVICE_LIMIT_S
            )
        facts.announce(
            kind=SERVER, subject='desk-1', start_id='s2', is_leaving=False
        )
        await fleet.wait_until(
            lambda: all_see_servers(1), limit_s=OUT_OF_SERVICE_LIMIT_S
        )

    run_paused(scenario())


@pytest.mark.parametrize('restarted', [1, 5])
@pytest.mark.parametrize('seed', range(3))
def test_restarted_instances_use_no_server_that_left(
    seed: int, restarted: int
) -> None:
    """Guards against a restart that brings a draining server back into use.

    The platform still lists the server, and only the peers know of the drain.
    Some of them are starting too.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=seed)
        server = BackendServer(
            'desk-1', 'desk', AvailabilityZone('east', 'a'), '10.0.0.1:80', 3
        )
        fleet.platform.servers = (server,)
        await fleet.start_all(9)
        fleet.control_planes['gw-2'].facts.announce(
            kind=SERVER, subject='desk-1', start_id='s1', is_leaving=True
        )
        await asyncio.sleep(OUT_OF_SERVICE_LIMIT_S)
        indexes = range(9 - restarted, 9)
        for index in indexes:
            await fleet.kill(f'gw-{index}')
        for index in indexes:
            fleet.start_instance(index)
        directories = [
            fleet.control_planes[f'gw-{index}'].directory for index in indexes
        ]
        until = fleet.now + RESTART_WATCH_S
        while fleet.now < until:
            for directory in directories:
                assert not directory.is_ready or (
                    directory.backend_servers(service='desk') == ()
                )
            await asyncio.sleep(0.01)
        assert all(directory.is_ready for directory in directories)

    run_paused(scenario())


def test_instances_start_after_their_only_ready_peer_ended() -> None:
    """Guards against instances that wait for the facts of a peer for ever.

    All others have heard of the ready peer, but none got an answer.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=11)
        await fleet.start_all(4)
        names = [f'gw-{index}' for index in range(1, 4)]
        for name in names:
            await fleet.kill(name)
        for index in range(1, 4):
            fleet.start_instance(index)
        for name in names:
            facts = fleet.control_planes[name].facts
            facts.on_status(
                sender='gw-0',
                status=MemberStatus(is_ready=True, facts_digest=1),
            )
        await fleet.kill('gw-0')
        await fleet.wait_until(
            lambda: all(
                fleet.control_planes[name].directory.is_ready for name in names
            ),
            limit_s=RESTART_WATCH_S,
        )

    run_paused(scenario())
