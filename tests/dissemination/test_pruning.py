"""Removal of facts and snapshots that are no longer needed."""

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

SNAPSHOT_PREFIX = configuration_pruning.SNAPSHOT_PREFIX


def test_facts_of_unlisted_servers_are_dropped() -> None:
    """Guards against facts that are kept for servers that no longer exist.

    An instance that starts before the removal must not spread the fact again.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=3)
        fleet.platform.servers = (
            BackendServer('s', 'desk', AvailabilityZone('east', 'a'), 's', 3),
        )
        await fleet.start_all(2)
        fleet.control_planes['gw-0'].facts.announce(
            kind=SERVER, subject='s', start_id='s1', is_leaving=True
        )
        await asyncio.sleep(2)

        def instances_with_fact() -> list[str]:
            return [
                name
                for name, node in fleet.control_planes.items()
                if node.facts.get(kind=SERVER, subject='s') is not None
            ]

        assert len(instances_with_fact()) == 2
        fleet.platform.servers = ()
        await asyncio.sleep(UNLISTED_RETENTION_S - 5)
        assert len(instances_with_fact()) == 2
        fleet.start_instance(2)
        await asyncio.sleep(10)
        assert instances_with_fact() == []
        sent_before = fleet.network.sent_bytes.total()
        digests = {node.facts.digest for node in fleet.control_planes.values()}
        assert digests == {0}
        await asyncio.sleep(10)
        # Pings only; each comparison of digests would send 450 bytes.
        bytes_per_s = (fleet.network.sent_bytes.total() - sent_before) / 10 / 3
        assert bytes_per_s < 200

    run_paused(scenario(), limit_s=3 * UNLISTED_RETENTION_S)


def test_snapshots_are_pruned_but_history_stays() -> None:
    """Guards against snapshots that are never removed, or removed too early.

    A snapshot without a version, left by an operator's failed put, is
    removed once it is old.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=4)
        await fleet.apply_document(example_document())
        orphans = [
            f'{SNAPSHOT_PREFIX}{version:012d}-lost' for version in (1, 999)
        ]
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
        before = [
            key
            for key in fleet.store.values
            if key.startswith(SNAPSHOT_PREFIX)
        ]
        # A single instance sends no pings, so the simulated hour runs fast.
        await fleet.start_all(1, has_document=False)
        await asyncio.sleep(1.2 * configuration_pruning.PRUNE_INTERVAL_S)
        after = [
            key
            for key in fleet.store.values
            if key.startswith(SNAPSHOT_PREFIX)
        ]
        assert len(after) < len(before)
        assert orphans[0] not in after
        assert orphans[1] in after
        assert len(after) - 1 >= configuration_pruning.MIN_KEPT_SNAPSHOTS
        assert (await admin.current()).ok == newest
        history = await admin.versions(limit=1000)
        versions = [delta.version for delta in history.ok]
        min_versions = configuration_pruning.MIN_KEPT_VERSIONS
        assert len(versions) >= min_versions
        assert versions == list(
            range(newest.version, newest.version - len(versions), -1)
        )
        oldest = newest.version - min_versions + 1
        assert (await admin.document_at(version=oldest)).is_ok()
        # An instance that starts afterwards gets a complete configuration.
        name = fleet.start_instance(5)
        await asyncio.sleep(2)
        assert (
            fleet.control_planes[name].configuration.document
            == newest.document
        )

    run_paused(scenario(), limit_s=10_000)
