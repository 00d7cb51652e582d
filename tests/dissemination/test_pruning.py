"""Facts and snapshots that nobody needs any more."""

import asyncio

from teaselrock.bench.control_fleet import ControlFleet
from teaselrock.bench.control_fleet import example_document
from teaselrock.coordination import configuration_pruning
from teaselrock.coordination.dissemination import SERVER
from teaselrock.coordination.dissemination.facts import UNLISTED_RETENTION_S
from teaselrock.standins.clock import run_paused
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state.configuration import Edit

PREFIX = configuration_pruning.SNAPSHOT_PREFIX


def test_facts_of_unlisted_servers_are_dropped() -> None:
    """Guards against facts that grow with every server there ever was.

    An instance that boots later must not spread the dropped fact again.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=3)
        fleet.platform.servers = (
            BackendServer('s', 'desk', AvailabilityZone('east', 'a'), 's', 3),
        )
        await fleet.start_all(2)
        fleet.nodes['gw-0'].facts.announce(
            kind=SERVER, subject='s', start_id='s1', is_leaving=True
        )
        await asyncio.sleep(2)

        def holders() -> list[str]:
            return [
                name
                for name, node in fleet.nodes.items()
                if node.facts.get(kind=SERVER, subject='s') is not None
            ]

        assert len(holders()) == 2
        fleet.platform.servers = ()
        await asyncio.sleep(UNLISTED_RETENTION_S - 5)
        assert len(holders()) == 2
        fleet.start_instance(2)
        await asyncio.sleep(10)
        assert holders() == []
        sent = fleet.network.sent_bytes.total()
        digests = {node.facts.digest for node in fleet.nodes.values()}
        assert digests == {0}
        await asyncio.sleep(10)
        # Pings alone; comparisons would send 450 bytes each.
        rate = (fleet.network.sent_bytes.total() - sent) / 10 / 3
        assert rate < 200

    run_paused(scenario(), limit=3 * UNLISTED_RETENTION_S)


def test_snapshots_are_pruned_but_history_stays() -> None:
    """Guards against snapshots that pile up, and a history that is short.

    An orphan of an operator whose put failed goes too, once it is old.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=4)
        await fleet.apply_document(example_document())
        orphans = [f'{PREFIX}{version:012d}-lost' for version in (1, 999)]
        for key in orphans:
            await fleet.store.put(key, b'{}', None)
        admin = fleet.admin()
        for number in range(450):
            base = (await admin.current()).ok
            edit = Edit('out_servers', f's{number % 9}', {'reason': 'r' * 9})
            removal = Edit('out_servers', f's{(number + 4) % 9}', None)
            result = await admin.apply_edits(base=base, edits=(edit, removal))
            assert result.is_ok()
        newest = (await admin.current()).ok
        before = [key for key in fleet.store.values if key.startswith(PREFIX)]
        # An instance alone sends no pings, which keeps the hour short.
        await fleet.start_all(1, document=False)
        await asyncio.sleep(1.2 * configuration_pruning.PRUNE_INTERVAL_S)
        after = [key for key in fleet.store.values if key.startswith(PREFIX)]
        assert len(after) < len(before)
        assert orphans[0] not in after
        assert orphans[1] in after
        assert len(after) - 1 >= configuration_pruning.MIN_KEPT_SNAPSHOTS
        assert (await admin.current()).ok == newest
        history = await admin.versions(limit=1000)
        versions = [delta.version for delta in history.ok]
        count = configuration_pruning.MIN_KEPT_VERSIONS
        assert len(versions) >= count
        assert versions == list(
            range(newest.version, newest.version - len(versions), -1)
        )
        oldest = newest.version - count + 1
        assert (await admin.document_at(version=oldest)).is_ok()
        # An instance that boots afterwards finds a whole configuration.
        name = fleet.start_instance(5)
        await asyncio.sleep(2)
        assert fleet.nodes[name].configuration.document == newest.document

    run_paused(scenario(), limit=10_000)
