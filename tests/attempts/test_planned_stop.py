"""Requests that arrive while an instance stops."""

import asyncio

from attempts_world import request
from attempts_world import route
from expression import Error
from expression import Ok
from expression import Result
import pytest

from teaselrock.coordination.attempt_results import CombinedVerdict
from teaselrock.coordination.dispatch import Dispatcher
from teaselrock.coordination.dispatch import STOPPING_RETRY_AFTER_S
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.in_memory import NoRecords
from teaselrock.coordination.in_memory import UnlimitedAllowances
from teaselrock.coordination.logged_report import LoggedReport
from teaselrock.coordination.ports import Claim
from teaselrock.coordination.ports import Permission
from teaselrock.coordination.ports import ReportRow
from teaselrock.coordination.route_attempts import RouteAdmission
from teaselrock.standins.clock import run_paused
from teaselrock.state import BackendResponse
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict
from teaselrock.transport.request_memory import RequestMemory

WORK_S = 1.0


class _Instance:
    """A ready instance whose servers take `WORK_S` for each request."""

    is_ready = True

    def __init__(self) -> None:
        self.sent: list[float] = []
        self.dispatcher = Dispatcher(
            readiness=self,
            admission=RouteAdmission(regions=frozenset({'east'})),
            attempts=self,
            records=NoRecords(),
            allowances=UnlimitedAllowances(),
            report=LoggedReport(events=NoEvents(), observer=self),
        )

    def on_attempt(self, *, service: str, reason: str, end: str) -> None:
        raise NotImplementedError

    def on_excess_attempts(self, *, service: str) -> None:
        raise NotImplementedError

    async def run(
        self,
        *,
        request: Request,
        permission: Permission,
        claim: Claim | None,
        row: ReportRow,
        combined: CombinedVerdict,
    ) -> Result[BackendResponse, Refusal]:
        self.sent.append(asyncio.get_running_loop().time())
        await asyncio.sleep(WORK_S)
        return Ok(BackendResponse(200, (), b''))

    async def send(
        self, *, is_idempotent: bool, deadline: float
    ) -> Result[BackendResponse, Refusal]:
        sent = route(is_idempotent=is_idempotent)
        return await self.dispatcher.dispatch(
            request=request(sent, deadline=deadline)
        )


@pytest.mark.parametrize(
    ('is_idempotent', 'deadline', 'is_served'),
    [
        pytest.param(True, 5.0, True, id='lookup'),
        pytest.param(False, 2.9, True, id='build that ends before the stop'),
        pytest.param(False, 3.1, False, id='build that may be cut off'),
    ],
)
def test_build_that_a_stop_may_cut_off_is_refused(
    is_idempotent: bool, deadline: float, is_served: bool
) -> None:
    """Guards against builds with an unknown outcome after a planned stop."""

    async def main() -> None:
        instance = _Instance()
        instance.dispatcher.begin_stop(ends_at=3.0)
        result = await instance.send(
            is_idempotent=is_idempotent, deadline=deadline
        )
        assert result.is_ok() == is_served
        assert len(instance.sent) == is_served

    run_paused(main())


@pytest.mark.parametrize('is_idempotent', [True, False])
def test_requests_in_flight_end_and_later_ones_are_refused(
    is_idempotent: bool,
) -> None:
    """Guards against late requests that a stop takes and then cuts off."""

    async def main() -> None:
        instance = _Instance()
        started = asyncio.create_task(
            instance.send(is_idempotent=is_idempotent, deadline=2.0)
        )
        await asyncio.sleep(0.5)
        instance.dispatcher.begin_stop(ends_at=3.0)
        instance.dispatcher.refuse_new()
        refused = await instance.send(
            is_idempotent=is_idempotent, deadline=2.0
        )
        assert refused == Error(
            Refusal(
                RefusalCode.INSTANCE_NOT_READY,
                Verdict.DID_NOT_RUN,
                'this instance stops and may end before the request',
                STOPPING_RETRY_AFTER_S,
            )
        )
        assert (await started).is_ok()
        assert instance.sent == [0.0]

    run_paused(main())


def test_request_without_caller_is_held_until_it_ends() -> None:
    """Guards against memory that counts as free while a build still runs.

    The caller disconnects at once; a build then runs to its end.
    """

    async def main() -> None:
        memory = RequestMemory()
        held = memory.open()
        held.resize(1000)
        instance = _Instance()
        build = request(route(is_idempotent=False), deadline=5.0)
        dispatched = asyncio.create_task(
            instance.dispatcher.dispatch(request=build._replace(hold=held))
        )
        await asyncio.sleep(WORK_S / 2)
        dispatched.cancel()
        held.release()
        await asyncio.sleep(WORK_S / 4)
        assert memory.total_bytes == 1000
        await asyncio.sleep(WORK_S / 2)
        assert memory.total_bytes == 0

    run_paused(main())
