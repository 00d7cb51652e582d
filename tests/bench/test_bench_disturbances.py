"""Random faults of the bench may overlap and end."""

import asyncio

import pytest

from teaselrock.bench.disturbances import FAULTS
from teaselrock.bench.trial import run_simulation
from teaselrock.bench.trial import Simulation
from teaselrock.bench.trial import Trial
from teaselrock.standins.behaviour import ServerFaults
from teaselrock.standins.fleet import BALANCER_LAG_S

SEED = 11


@pytest.mark.parametrize('name', sorted(FAULTS))
def test_fault_ends(name: str) -> None:
    """Guards against a fault that fails a run or never ends.

    Two faults of one kind overlap; afterwards the fleet must be as before.
    """

    async def scenario(simulation: Simulation) -> None:
        fleet = simulation.fleet
        normal_latency_s = fleet.store.latency_s
        disturb = FAULTS[name]
        await asyncio.gather(
            disturb(simulation, 0.5), disturb(simulation, 0.7)
        )
        await asyncio.sleep(2 * BALANCER_LAG_S)
        assert fleet.balancer_targets == sorted(
            instance.instance_id for instance in simulation.plan.instances
        )
        assert not fleet.store.is_down
        assert not fleet.platform.is_stale
        assert (fleet.store.latency_s, fleet.store.lost_response_share) == (
            normal_latency_s,
            0.0,
        )
        for model in simulation.plan.models.values():
            assert model.faults == ServerFaults()
            assert model.load.state != 'draining'

    run_simulation(
        Simulation(trial=Trial('faults', 'default', 'liffeyline', SEED, 0)),
        scenario,
    )
