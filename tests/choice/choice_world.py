"""Backend servers with scripted load reports, and one instance's slots."""

import asyncio
import random

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.choice import AnnouncedLimits
from teaselrock.coordination.choice import CheckedSlots
from teaselrock.coordination.choice import LatencyEstimates
from teaselrock.coordination.choice import LoadChecks
from teaselrock.coordination.choice import ServerHistory
from teaselrock.coordination.choice import ServerNotices
from teaselrock.coordination.choice import ServerRates
from teaselrock.coordination.choice import SharedIdleLimit
from teaselrock.coordination.connections import ConnectionPool
from teaselrock.coordination.events import Event
from teaselrock.coordination.ports import BackendConnection
from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.coordination.ports import RelayChannel
from teaselrock.coordination.ports import Slot
from teaselrock.coordination.rate_permits import InstanceRoster
from teaselrock.coordination.rate_permits import PermitLender
from teaselrock.coordination.rate_permits import RatePermits
from teaselrock.coordination.registry import InstallationView
from teaselrock.state import AttemptReason
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendResponse
from teaselrock.state import BackendServer
from teaselrock.state import ExchangeFailure
from teaselrock.state import FailureKind
from teaselrock.state import LoadReport
from teaselrock.state import Refusal
from teaselrock.state import Request
from teaselrock.state import RequestContent
from teaselrock.state import ServerState
from teaselrock.state import Verdict
from teaselrock.state.routes import Route
from teaselrock.state.routes import RoutingTable
from teaselrock.state.routes import ServiceProfile
from teaselrock.state.routes import ServiceShare

EAST_A = AvailabilityZone('east', 'east-a')
EAST_B = AvailabilityZone('east', 'east-b')
WEST = AvailabilityZone('west', 'west-a')
ROUTE = Route(
    name='r',
    host='a.example',
    prefix='/x/',
    shares=(ServiceShare('desk', 1.0),),
    is_idempotent=True,
    timeout=2.0,
    target_latency=0.6,
    priority=1,
    max_attempts=2,
)
COLD_RATE_PER_S = 6.3
OVERSHOOT = 1.5
SLACK_REQUESTS = 5.0


def load_report(
    in_flight: int = 0,
    queued: int = 0,
    work_factor: float = 1.0,
    cold_remaining: float = 0.0,
    is_healthy: bool = True,
) -> LoadReport:
    return LoadReport(
        's',
        ServerState.WARM,
        in_flight,
        6,
        queued,
        work_factor,
        cold_remaining,
        is_healthy,
    )


def backend_server(
    name: str, zone: AvailabilityZone = EAST_A
) -> BackendServer:
    return BackendServer(name, 'desk', zone, f'{name}:1', 6)


class FakeConnection:
    """`BackendConnection` whose load report and faults a test sets."""

    def __init__(self, world: 'World', server: BackendServer) -> None:
        self.world = world
        self.server = server
        self.is_open = True
        self.is_closed = False

    @property
    def load(self) -> LoadReport:
        return self.world.loads[self.server.server_id]

    async def check_load(
        self, *, deadline: float
    ) -> Result[LoadReport, ExchangeFailure]:
        self.world.checked_server_ids.append(self.server.server_id)
        delay = self.world.check_delays_s.get(self.server.server_id, 0.001)
        remaining = deadline - asyncio.get_running_loop().time()
        await asyncio.sleep(min(delay, remaining))
        error = self.world.check_errors.get(self.server.server_id)
        if error is not None:
            raise error
        if delay >= remaining:
            self.close()
            return Error(
                ExchangeFailure(
                    FailureKind.TIMEOUT, Verdict.DID_NOT_RUN, 'timeout'
                )
            )
        return Ok(self.load)

    async def exchange(
        self, *, content: RequestContent, deadline: float
    ) -> Result[BackendResponse, ExchangeFailure]:
        raise NotImplementedError

    def close(self) -> None:
        self.is_open = False
        self.is_closed = True


class NoLink:
    """`RelayLink` of an instance that reaches no other."""

    async def connect(self, *, address: str) -> RelayChannel | None:
        return None


class World:
    """Backend servers with load reports, and the slots of an instance."""

    def __init__(self, loads: dict[BackendServer, LoadReport]) -> None:
        self.loads = {
            server.server_id: report for server, report in loads.items()
        }
        self.check_delays_s: dict[str, float] = {}
        self.checked_server_ids: list[str] = []
        self.check_errors: dict[str, Exception] = {}
        self.events: list[Event] = []
        self.opened_connections = 0
        self.view = InstallationView()
        self.view.put_table_in_force(
            RoutingTable(
                1,
                (ROUTE,),
                {'desk': ServiceProfile('desk', '/h', 200, COLD_RATE_PER_S)},
            )
        )
        for server in loads:
            self.view.put_server(server)
        own = InstanceRegistration('i0', 'east', 'east-a')
        self.roster = InstanceRoster(own=own)
        self.roster.set_entries((own,))
        self.permits = RatePermits(
            roster=self.roster,
            lender=PermitLender(roster=self.roster, region='east'),
            link=NoLink(),
        )
        self.pool = ConnectionPool(
            connector=self,
            idle_limit=SharedIdleLimit(view=self.view, roster=self.roster),
        )
        self.history = ServerHistory()
        self.notices = ServerNotices(events=self)
        self.slots = CheckedSlots(
            own_zone=EAST_A,
            view=self.view,
            load_checks=LoadChecks(
                connector=self,
                connections=self.pool,
                history=self.history,
                notices=self.notices,
                events=self,
            ),
            server_rates=ServerRates(
                view=self.view,
                announced_limits=AnnouncedLimits(events=self),
                permits=self.permits,
                roster=self.roster,
                rng=random.Random(2),
            ),
            history=self.history,
            notices=self.notices,
            latency_estimates=LatencyEstimates(),
            rng=random.Random(1),
        )

    async def connect_unchecked(
        self, *, server: BackendServer, deadline: float
    ) -> Result[BackendConnection, ExchangeFailure]:
        self.opened_connections += 1
        return Ok(FakeConnection(self, server))

    connect = connect_unchecked

    def emit(self, *, event: Event, **fields: str | int | float) -> None:
        self.events.append(event)

    async def acquire(
        self,
        *,
        remaining: float = 2.0,
        exclude: tuple[str, ...] = (),
        reason: AttemptReason | None = None,
        route: Route = ROUTE,
    ) -> Result[Slot, Refusal]:
        now = asyncio.get_running_loop().time()
        return await self.slots.acquire(
            request=Request(
                '',
                'desk',
                RequestContent('GET', '/x/', (), b''),
                now + remaining,
                route=route,
            ),
            regions=frozenset({'east', 'west'}),
            weight=1,
            exclude=frozenset(exclude),
            reason=reason,
        )
