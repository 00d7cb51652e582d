"""Experiment `measuring`: control traffic and request data on the links.

Request data (row copies, claims of keys) grows with the requests served;
everything else is control traffic.
"""

from collections import Counter
from collections.abc import Mapping
from typing import Final

from teaselrock.bench import measures
from teaselrock.bench.trial import Bound
from teaselrock.bench.trial import Combine
from teaselrock.bench.trial import Experiment
from teaselrock.bench.trial import Outcome
from teaselrock.bench.trial import run_simulation
from teaselrock.bench.trial import Simulation
from teaselrock.bench.trial import Trial
from teaselrock.coordination.instance import REQUEST_DATA_TYPES
from teaselrock.standins.network import Traffic

LOAD_SHARE: Final = 0.7
SHOWN_KINDS: Final = 3
# Target of docs/design.md 1.3 for the control traffic of an instance.
CONTROL_BYTES_PER_S: Final = 9000.0
DATA_KINDS: Final = frozenset(kind.__name__ for kind in REQUEST_DATA_TYPES)


async def _run_load(simulation: Simulation) -> None:
    await simulation.run(simulation.workloads(share=LOAD_SHARE))


def _by_sender(
    counts: Mapping[Traffic, int],
    *,
    is_data: bool,
    only_cross_region: bool = False,
) -> Counter[str]:
    totals: Counter[str] = Counter()
    for traffic, count in counts.items():
        if (traffic.kind in DATA_KINDS) == is_data and (
            traffic.is_cross_region or not only_cross_region
        ):
            totals[traffic.sender] += count
    return totals


def _largest_kinds(counts: Mapping[Traffic, int]) -> tuple[str, ...]:
    """Descriptions of the message types with the most bytes."""
    kinds: Counter[str] = Counter()
    for traffic, size in counts.items():
        kinds[traffic.kind] += size
    total = kinds.total()
    return tuple(
        f'{kind}: {size / total:.1%} of all bytes'
        f' ({"request data" if kind in DATA_KINDS else "control"})'
        for kind, size in kinds.most_common(SHOWN_KINDS)
    )


def run(trial: Trial) -> Outcome:
    """Run one seed."""
    simulation = Simulation(trial=trial, is_noisy=True)
    run_simulation(simulation, _run_load)
    network = simulation.fleet.network
    served = max(1, len(measures.latencies_ms(simulation.calls)))
    count = len(simulation.plan.instances)
    figures = {'served_share': measures.served_share(simulation.calls)}
    for name, is_data in (('control', False), ('data', True)):
        messages = _by_sender(network.messages_by_traffic, is_data=is_data)
        size = _by_sender(network.bytes_by_traffic, is_data=is_data)
        cross_region_size = _by_sender(
            network.bytes_by_traffic, is_data=is_data, only_cross_region=True
        )
        figures |= {
            f'{name}_messages_per_call': messages.total() / served,
            f'{name}_bytes_per_call': size.total() / served,
            f'{name}_bytes_per_s_mean': size.total() / count / trial.seconds,
            f'{name}_bytes_per_s_max': max(size.values(), default=0)
            / trial.seconds,
            f'{name}_cross_bytes_per_s_mean': cross_region_size.total()
            / count
            / trial.seconds,
            f'{name}_cross_bytes_per_s_max': max(
                cross_region_size.values(), default=0
            )
            / trial.seconds,
        }
    figures['store_calls_per_s'] = (
        simulation.fleet.store.calls.total() / trial.seconds
    )
    return Outcome(
        trial, figures, notes=_largest_kinds(network.bytes_by_traffic)
    )


EXPERIMENT: Final = Experiment(
    'measuring',
    'control traffic and request data at 70% load, from the links',
    ('default',),
    2,
    5.0,
    run,
    {'served_share': Combine.MEAN}
    | {
        f'{name}_{figure}': Combine.MEAN
        for name in ('control', 'data')
        for figure in (
            'messages_per_call',
            'bytes_per_call',
            'bytes_per_s_mean',
            'cross_bytes_per_s_mean',
        )
    }
    | {
        f'{name}_{figure}': Combine.MAX
        for name in ('control', 'data')
        for figure in ('bytes_per_s_max', 'cross_bytes_per_s_max')
    }
    | {'store_calls_per_s': Combine.MAX},
    {'control_bytes_per_s_max': Bound(CONTROL_BYTES_PER_S)},
)
