"""The clock of the daemons' event loop."""

import asyncio
import pathlib
import time
from typing import Any

from expression import Ok
import pytest

from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.coordination.rate_permits import InstanceRoster
from teaselrock.coordination.rate_permits import PermitLender
from teaselrock.coordination.rate_permits import RatePermits
from teaselrock.daemon import event_loop
from teaselrock.daemon import gateway
from teaselrock.daemon import platform_gateway
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer

OWN = InstanceRegistration('i0', 'east', 'east-a')
SERVER = BackendServer(
    's1', 'desk', AvailabilityZone('east', 'east-a'), 's1:1', 6
)
SUSPENSION_S = 5.0
# Far more turns than a timer that is due takes.
LOOP_TURNS = 100


class NoLink:
    """`RelayLink` of an instance that reaches no other."""

    async def connect(self, *, address: str) -> None:
        return None


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Any:
    """A function that suspends the machine for some seconds.

    `CLOCK_BOOTTIME` counts this time and the monotonic clock does not.
    """
    suspended_s = 0.0
    clock_gettime = time.clock_gettime

    def read_clock(clock: int) -> float:
        offset = suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
        return clock_gettime(clock) + offset

    def suspend_machine(seconds: float) -> None:
        nonlocal suspended_s
        suspended_s += seconds

    monkeypatch.setattr(time, 'clock_gettime', read_clock)
    return suspend_machine


def test_permit_expires_while_the_machine_is_suspended(suspend: Any) -> None:
    """Guards against a permit that is used seconds after it has expired."""

    async def main() -> None:
        roster = InstanceRoster(own=OWN)
        roster.set_entries((OWN,))
        permits = RatePermits(
            roster=roster,
            lender=PermitLender(roster=roster, region='east'),
            link=NoLink(),
        )
        permit = (await permits.acquire(server=SERVER, rate=3.0)).ok
        loop = asyncio.get_running_loop()
        assert loop.time() <= permit.expires_at
        suspend(SUSPENSION_S)
        assert loop.time() > permit.expires_at

    event_loop.run(main())


def test_deadline_passes_while_the_machine_is_suspended(suspend: Any) -> None:
    """Guards against servers that are given more time than is left."""

    async def main() -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SUSPENSION_S):
                suspend(SUSPENSION_S)
                for _ in range(LOOP_TURNS):
                    await asyncio.sleep(0)

    event_loop.run(main())


@pytest.mark.parametrize(
    ('module', 'settings_module'),
    [
        (gateway, 'settings_module'),
        (platform_gateway, 'platform_settings'),
    ],
)
def test_daemons_run_on_this_clock(
    module: Any, settings_module: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a daemon whose leases outlive a suspension."""
    loops: list[asyncio.AbstractEventLoop] = []

    async def run_daemon(*arguments: object) -> int:
        loops.append(asyncio.get_running_loop())
        return 0

    monkeypatch.setattr(module, '_run', run_daemon)
    monkeypatch.setattr(
        getattr(module, settings_module), 'load', lambda path: Ok(None)
    )
    assert module.run(pathlib.Path('settings')) == 0
    assert isinstance(loops[0], event_loop.SuspendAwareEventLoop)
