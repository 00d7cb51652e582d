"""Figures computed from the records of callers and backend servers."""

from collections.abc import Iterable
from collections.abc import Sequence

from teaselrock.bench.callers import CallRecord
from teaselrock.bench.callers import RAN
from teaselrock.standins.server import ServerModel


def percentile(values: Iterable[float], share: float) -> float:
    """Percentile of values, `share` from 0 to 1; NaN without values.

    It is the value at index `int(share * count)` of the sorted values, or the
    last one if the index is beyond it.
    """
    ordered = sorted(values)
    if not ordered:
        return float('nan')
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def latencies_ms(
    calls: Sequence[CallRecord], kind: str | None = None
) -> list[float]:
    """Milliseconds from send to response of served calls.

    With `kind` only calls of this kind count.
    """
    return [
        (call.ended - call.sent) * 1000
        for call in calls
        if is_served(call) and kind in (None, call.kind)
    ]


def is_served(call: CallRecord) -> bool:
    """Whether the caller got a whole response without an error."""
    return call.verdict == RAN and not call.code and call.status < 500


def served_share(calls: Sequence[CallRecord]) -> float:
    """Share of calls that were served; NaN without calls."""
    served = sum(is_served(call) for call in calls)
    return served / len(calls) if calls else float('nan')


def excess_share(models: Iterable[ServerModel]) -> float:
    """Share of arriving requests above a warm server's concurrency."""
    models = list(models)
    arrivals = sum(len(model.runs) + model.shed for model in models)
    excess = sum(model.excess_warm for model in models)
    return excess / arrivals if arrivals else float('nan')
