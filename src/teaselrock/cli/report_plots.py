"""Plots of the report page, as PNG."""

from collections.abc import Mapping
from collections.abc import Sequence
import io
import math
from typing import Final

from matplotlib.figure import Figure

DPI: Final = 100
PLOT_COLUMNS: Final = 3
# Upper bounds of the buckets of a latency histogram; the last bucket has none.
EDGES_MS: Final = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)
# Only the pairs of customer and service with the most requests have a
# histogram.
MAX_LATENCY_PLOTS: Final = 24


def bucket_index(latency_ms: float) -> int:
    """Index of the bucket of a latency."""
    return sum(latency_ms > edge for edge in EDGES_MS)


def plot_attempts(counts: Mapping[tuple[str, str], int]) -> bytes:
    """Plot a bar for each zone, stacked by service.

    The keys of `counts` are (service, zone).
    """
    services = sorted({service for service, _ in counts})
    zones = sorted({zone for _, zone in counts})
    figure = Figure(figsize=(9, 4), layout='constrained')
    axes = figure.subplots()
    bottom = [0] * len(zones)
    for service in services:
        heights = [counts.get((service, zone), 0) for zone in zones]
        axes.bar(zones, heights, bottom=bottom, label=service)
        bottom = [base + height for base, height in zip(bottom, heights)]
    axes.set_ylabel('attempts')
    if services:
        axes.legend()
    return _encode_png(figure)


def plot_latency(
    counts: Mapping[tuple[str, str], Sequence[int]],
) -> bytes:
    """Plot histograms of the customers and services with the most requests.

    The keys of `counts` are (customer, service).
    """
    pairs = sorted(counts, key=lambda pair: -sum(counts[pair]))
    pairs = pairs[:MAX_LATENCY_PLOTS]
    rows = max(1, math.ceil(len(pairs) / PLOT_COLUMNS))
    figure = Figure(figsize=(9, 2.6 * rows), layout='constrained')
    grid = figure.subplots(rows, PLOT_COLUMNS, squeeze=False)
    labels = [*(f'{edge}' for edge in EDGES_MS), 'more']
    for axes in grid.flat[len(pairs) :]:
        axes.set_visible(False)
    for pair, axes in zip(pairs, grid.flat):
        axes.bar(labels, counts[pair], width=1.0, edgecolor='white')
        axes.set_title(' '.join(pair), fontsize=9, parse_math=False)
        axes.tick_params(axis='x', rotation=90, labelsize=7)
        axes.set_xlabel('up to ms', fontsize=8)
        axes.set_ylabel('requests', fontsize=8)
    return _encode_png(figure)


def _encode_png(figure: Figure) -> bytes:
    data = io.BytesIO()
    figure.savefig(data, format='png', dpi=DPI)
    return data.getvalue()
