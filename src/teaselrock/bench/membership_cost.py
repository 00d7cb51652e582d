"""Cost of an idle control plane, and time until a change is in force.

Runs on the paused clock. Bytes are those of encoded messages, without the
overhead of ZeroMQ, TCP and IP. CPU is the process time of the whole run,
including stand-ins, divided by the number of members; memory is the growth
of traced allocations since before the start, divided by the same number.
"""

import argparse
import asyncio
from collections.abc import Sequence
import statistics
import sys
import time
import tracemalloc
from typing import NamedTuple

from teaselrock.bench.change_cost import measure_change
from teaselrock.bench.control_fleet import ControlFleet
from teaselrock.bench.control_fleet import example_document
from teaselrock.standins.clock import run_paused

SETTLE_S = 8.0
# After a start the record of each member is sent 8 to 12 times, with 12
# records in a message and 10 messages per second.
SETTLE_S_PER_MEMBER = 0.12
CHANGE_GAP_S = 0.37


class IdleCost(NamedTuple):
    """Averages for each instance and second.

    `largest_bytes` is bytes per second of the instance that sends most;
    `store_reads` is reads per second of the whole fleet.
    """

    messages: float
    sent_bytes: float
    cross_region_bytes: float
    largest_bytes: float
    store_reads: float
    cpu_us: float


def _per_second(total: float, count: int, seconds: float) -> float:
    return total / count / seconds


async def measure_idle(
    *, members: int, seconds: float, seed: int, loss: float
) -> IdleCost:
    """Measure an idle fleet after its membership has settled."""
    fleet = ControlFleet(seed=seed, loss=loss)
    await fleet.start_all(members)
    await asyncio.sleep(SETTLE_S + SETTLE_S_PER_MEMBER * members)
    network = fleet.network
    messages_before = network.sent_messages.total()
    cross_region_bytes_before = network.cross_region_bytes.total()
    bytes_before = dict(network.sent_bytes)
    store_reads_before = fleet.store.read_calls
    cpu_s_before = time.process_time()
    await asyncio.sleep(seconds)
    sent = [
        network.sent_bytes[name] - bytes_before.get(name, 0)
        for name in fleet.control_planes
    ]
    return IdleCost(
        _per_second(
            network.sent_messages.total() - messages_before, members, seconds
        ),
        _per_second(sum(sent), members, seconds),
        _per_second(
            network.cross_region_bytes.total() - cross_region_bytes_before,
            members,
            seconds,
        ),
        max(sent) / seconds,
        (fleet.store.read_calls - store_reads_before) / seconds,
        _per_second(time.process_time() - cpu_s_before, members, seconds)
        * 1e6,
    )


async def measure_memory(*, members: int, seed: int) -> float:
    """Memory in KiB for each member after its start."""
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    fleet = ControlFleet(seed=seed)
    await fleet.start_all(members)
    await asyncio.sleep(SETTLE_S)
    growth_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    return growth_bytes / members / 1024


async def measure_changes(
    *, members: int, changes: int, seed: int, loss: float
) -> list[float]:
    """Seconds from acceptance until in force, for each change and instance.

    The link between one pair of instances is cut.
    """
    fleet = ControlFleet(seed=seed, loss=loss)
    fleet.announces_changes = True
    await fleet.start_all(members)
    fleet.network.cut('gw-1', 'gw-2')
    await asyncio.sleep(SETTLE_S)
    admin = fleet.admin()
    times: list[float] = []
    for number in range(changes):
        current = (await admin.current()).ok
        document = example_document()
        document['plans']['basic']['weight'] = 2 + number
        result = await admin.apply_document(base=current, document=document)
        accepted_at = fleet.now

        async def wait(name: str, version: int, started: float) -> float:
            await fleet.control_planes[name].configuration.wait_for(version)
            return fleet.now - started

        times += await asyncio.gather(
            *(
                wait(name, result.ok.version, accepted_at)
                for name in fleet.control_planes
            )
        )
        await asyncio.sleep(CHANGE_GAP_S)
    return times


def _quantile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _parse(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--members', type=int, nargs='*', default=[15, 50, 150, 300]
    )
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--changes', type=int, default=20)
    parser.add_argument(
        '--customers', type=int, nargs='*', default=[10, 100, 1000]
    )
    parser.add_argument('--loss', type=float, default=0.01)
    parser.add_argument('--seed', type=int, default=1)
    return parser.parse_args(arguments)


def _print_members(options: argparse.Namespace, members: int) -> None:
    """Measure and print the line for a fleet of `members` instances."""
    seed, loss = options.seed, options.loss
    cost = run_paused(
        measure_idle(
            members=members, seconds=options.seconds, seed=seed, loss=loss
        )
    )
    memory = run_paused(measure_memory(members=members, seed=seed))
    times = run_paused(
        measure_changes(
            members=members, changes=options.changes, seed=seed, loss=loss
        )
    )
    in_force = (statistics.median(times), _quantile(times, 0.99), max(times))
    sys.stdout.write(
        f'{members} '
        + ' '.join(f'{value:.1f}' for value in (*cost, memory))
        + ' '
        + ' '.join(f'{value * 1000:.1f}' for value in in_force)
        + '\n'
    )
    sys.stdout.flush()


def main(arguments: Sequence[str] | None = None) -> int:
    """Print a table by number of members and one by number of customers."""
    options = _parse(arguments)
    sys.stdout.write(
        'members messages/s bytes/s cross-region-bytes/s largest-bytes/s '
        'store-reads/s cpu-us/s memory-KiB in-force-p50-ms p99-ms max-ms\n'
    )
    for members in options.members:
        _print_members(options, members)
    sys.stdout.write(
        'customers document-bytes bytes/change messages/change cpu-us/change\n'
    )
    for customers in options.customers:
        change = measure_change(customers=customers, seed=options.seed)
        sys.stdout.write(
            f'{customers} ' + ' '.join(f'{v:.1f}' for v in change) + '\n'
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
