"""The circuit breaker in front of the store."""

import asyncio
import random

from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.coordination.store_circuit_breaker import CircuitBreakerStore
from teaselrock.coordination.store_circuit_breaker import FAILURES_TO_OPEN
from teaselrock.coordination.store_circuit_breaker import PROBE_INTERVAL_S
from teaselrock.standins.clock import run_paused
from teaselrock.standins.store import MemoryStore
from teaselrock.standins.store import StoreModel


def _circuit_breaker(model: StoreModel) -> CircuitBreakerStore:
    return CircuitBreakerStore(
        store=MemoryStore(model=model), rng=random.Random(1)
    )


def test_outage_costs_few_calls() -> None:
    """Guards against retries that flood a store that is down."""

    async def main() -> None:
        model = StoreModel(rng=random.Random(2))
        store = _circuit_breaker(model)
        model.is_down = True
        for _ in range(1000):
            result = await store.get(key='a')
            assert result.error.kind is StoreErrorKind.UNAVAILABLE
            await asyncio.sleep(0.01)
        elapsed_s = asyncio.get_running_loop().time()
        probes = elapsed_s / PROBE_INTERVAL_S + 1
        assert model.calls.total() > FAILURES_TO_OPEN
        assert model.calls.total() <= FAILURES_TO_OPEN + probes

    run_paused(main())


def test_probe_closes_the_breaker() -> None:
    """Guards against a breaker that stays open after the outage."""

    async def main() -> None:
        model = StoreModel(rng=random.Random(2))
        store = _circuit_breaker(model)
        model.is_down = True
        for _ in range(FAILURES_TO_OPEN + 1):
            await store.put(key='a', value=b'1', expected_version=0)
        assert store.is_open
        model.is_down = False
        await asyncio.sleep(2 * PROBE_INTERVAL_S)
        assert (
            await store.put(key='a', value=b'1', expected_version=0)
        ).is_ok()
        assert not store.is_open

    run_paused(main())


def test_conflicts_keep_the_breaker_closed() -> None:
    """Guards against a working store that is taken for a failed one.

    A conflict is an error of one write and shows that the store answers.
    """

    async def main() -> None:
        store = _circuit_breaker(StoreModel(rng=random.Random(2)))
        await store.put(key='a', value=b'1', expected_version=0)
        for _ in range(2 * FAILURES_TO_OPEN):
            result = await store.put(key='a', value=b'2', expected_version=0)
            assert result.error.kind is StoreErrorKind.CONFLICT
        assert not store.is_open

    run_paused(main())
