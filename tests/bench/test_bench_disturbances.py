"""Each random fault can happen twice at once and is taken back."""

import asyncio

import pytest

from teaselrock.bench.disturbances import DISTURBANCES
from teaselrock.bench.trial import run_simulation
from teaselrock.bench.trial import Simulation
from teaselrock.bench.trial import Trial
from teaselrock.standins.behaviour import ServerFaults
from teaselrock.standins.fleet import BALANCER_LAG_S

SEED = 11


@pytest.mark.parametrize('name', sorted(DISTURBANCES))
def test_fault_is_taken_back(name: str) -> None:
    """Guards against a fault that fails a run or lasts to its end."""

    async def body(simulation: Simulation) -> None:
        fleet = simulation.fleet
        normal = fleet.store.latency_s
        disturb = DISTURBANCES[name]
        await asyncio.gather(
            disturb(simulation, 0.5), disturb(simulation, 0.7)
        )
        await asyncio.sleep(2 * BALANCER_LAG_S)
        assert fleet.balancer_targets == sorted(
            own.instance_id for own in simulation.plan.instances
        )
        assert not fleet.store.is_down
        assert not fleet.platform.is_stale
        assert (fleet.store.latency_s, fleet.store.lost_answer_share) == (
            normal,
            0.0,
        )
        for model in simulation.plan.models.values():
            assert model.faults == ServerFaults()
            assert model.load.state != 'draining'

    run_simulation(
        Simulation(trial=Trial('faults', 'default', 'liffeyline', SEED, 0)),
        body,
    )
