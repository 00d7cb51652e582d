"""Assembly of an instance with peers, plans and leased slots.

`routed_instance` assembles one with routes and load checks, `standalone` one
without peers. The daemon passes transports as ports, the bench and the tests
pass stand-ins. `control` assembles peers, membership and configuration. This
module adds the data path: slots, attempts, records, allowances and the report.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import Protocol

from teaselrock.coordination.allowances import PlanAllowances
from teaselrock.coordination.attempts import AttemptRunner
from teaselrock.coordination.connections import ConnectionPool
from teaselrock.coordination.control import ControlPlane
from teaselrock.coordination.control_budget import Priority
from teaselrock.coordination.dispatch import Dispatcher
from teaselrock.coordination.dissemination import SERVER
from teaselrock.coordination.events import Events
from teaselrock.coordination.events import RequestObserver
from teaselrock.coordination.idempotency import ClaimRequest
from teaselrock.coordination.idempotency import RecordOptions
from teaselrock.coordination.idempotency import RecordUpdate
from teaselrock.coordination.idempotency import StoreIdempotencyRecords
from teaselrock.coordination.idempotency import UpdateReply
from teaselrock.coordination.in_memory import InMemoryRecords
from teaselrock.coordination.in_memory import UnlimitedAllowances
from teaselrock.coordination.plan_admission import PlanAdmission
from teaselrock.coordination.ports import BackendConnector
from teaselrock.coordination.ports import Directory
from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import PeerLink
from teaselrock.coordination.ports import PlatformList
from teaselrock.coordination.ports import SlotSource
from teaselrock.coordination.ports import Store
from teaselrock.coordination.reporting import EndedRows
from teaselrock.coordination.reporting import EndedRowsAck
from teaselrock.coordination.reporting import KeptRowsQuery
from teaselrock.coordination.reporting import ReportOptions
from teaselrock.coordination.reporting import RowAck
from teaselrock.coordination.reporting import RowCopy
from teaselrock.coordination.reporting import RowsStored
from teaselrock.coordination.reporting import SegmentReportWriter
from teaselrock.coordination.routing import LatencyHedgePolicy
from teaselrock.coordination.routing import RetryBudget
from teaselrock.coordination.slots import SharedSlots
from teaselrock.coordination.slots import SlotOptions
from teaselrock.coordination.slots.messages import HeldLeases
from teaselrock.coordination.slots.messages import SlotConfirm
from teaselrock.coordination.slots.messages import SlotReturn
from teaselrock.coordination.slots.messages import SlotUpdate
from teaselrock.coordination.store_circuit_breaker import CircuitBreakerStore
from teaselrock.state import BackendServer
from teaselrock.state import Instance
from teaselrock.state import LoadReport
from teaselrock.state import ServerState

SlotSourceFactory = Callable[[Directory, random.Random], SlotSource]

STOP_TIMEOUT_S: Final = 10.0
# Message types whose rate grows with the requests served, so they are charged
# as request data and not as control traffic.
REQUEST_DATA_TYPES: Final = (
    ClaimRequest,
    UpdateReply,
    RecordUpdate,
    RowCopy,
    RowAck,
    EndedRows,
    EndedRowsAck,
    KeptRowsQuery,
    RowsStored,
)
# A slot whose return is lost cannot be lent again until its lease expires, so
# these messages have priority over slot requests.
MESSAGE_PRIORITIES: Final = dict.fromkeys(
    (SlotReturn, SlotUpdate, SlotConfirm, HeldLeases), Priority.SLOT_STATE
)


class RunnableInstance(Protocol):
    """Interface of an instance that daemons use."""

    @property
    def dispatcher(self) -> Dispatcher:
        """Dispatcher of the requests of this instance."""
        ...

    @property
    def directory(self) -> Directory:
        """Configuration in force and the servers that may get requests."""
        ...

    async def start(self) -> None:
        """Start the tasks of all components and return when they run."""
        ...

    async def stop(self) -> None:
        """Refuse new requests, finish those in flight and leave the fleet."""
        ...


class InstancePorts(NamedTuple):
    """Implementations of the ports that one instance is given.

    `wall_clock` returns Unix time in seconds. It is used for the calendar
    windows of plans, for the age of idempotency records, and for the times
    and days of the report. `GatewayInstance` does not use `observer`.
    """

    link: PeerLink
    store: Store
    platform: PlatformList
    connector: BackendConnector
    codec: DocumentCodec
    events: Events
    observer: RequestObserver
    wall_clock: Callable[[], float]


class InstanceOptions(NamedTuple):
    """Options of one instance.

    `store_region` is the region of the store, `operators` the address of
    the operators' endpoint, '' if there is none. `home_region_records` applies
    to customers whose home regions exclude the region of the store: 'digest'
    stores keyed digests of their idempotency keys, 'refuse' refuses requests
    that need a record. `slot_source_factory` replaces the shared
    slots by another source, such as a baseline of the bench. `is_unshared`
    replaces the idempotency records by those of one process and the allowances
    by `UnlimitedAllowances`, with which instances together may run a request
    twice and exceed a plan; the bench uses it to show that its checks find the
    violations.
    """

    store_region: str
    seeds: tuple[Instance, ...] = ()
    home_region_records: Literal['digest', 'refuse'] = 'digest'
    slot_options: SlotOptions = SlotOptions()
    slot_source_factory: SlotSourceFactory | None = None
    operators: str = ''
    is_unshared: bool = False


class GatewayInstance:
    """An instance with peers, whose components start and stop together.

    It must be created inside the running loop, whose clock it reads.
    """

    def __init__(
        self,
        *,
        own: Instance,
        incarnation: int,
        ports: InstancePorts,
        options: InstanceOptions,
        rng: random.Random,
    ) -> None:
        self._stopping: asyncio.Task[None] | None = None
        store = CircuitBreakerStore(store=ports.store, rng=_fork_rng(rng))
        self._control = ControlPlane(
            own=own,
            incarnation=incarnation,
            link=ports.link,
            store=store,
            platform=ports.platform,
            codec=ports.codec,
            seeds=options.seeds,
            operators=options.operators,
            rng=_fork_rng(rng),
            events=ports.events,
        )
        view = self._control.membership
        hub = self._control.hub
        directory = self._control.directory
        hub.count_as_request_data(message_types=REQUEST_DATA_TYPES)
        hub.set_priorities(priorities=MESSAGE_PRIORITIES)
        self._slots = SharedSlots(
            directory=directory,
            members=view,
            peers=hub,
            options=options.slot_options,
            rng=_fork_rng(rng),
            events=ports.events,
        )
        self._records = StoreIdempotencyRecords(
            view=view,
            peers=hub,
            store=store,
            codec=ports.codec,
            directory=directory,
            wall_clock=ports.wall_clock,
            rng=_fork_rng(rng),
            options=RecordOptions(
                options.store_region, options.home_region_records
            ),
            events=ports.events,
        )
        self._allowances = PlanAllowances(
            view=view,
            peers=hub,
            store=store,
            codec=ports.codec,
            directory=directory,
            wall_clock=ports.wall_clock,
            rng=_fork_rng(rng),
            events=ports.events,
        )
        self._report = SegmentReportWriter(
            view=view,
            peers=hub,
            store=store,
            codec=ports.codec,
            directory=directory,
            wall_clock=ports.wall_clock,
            rng=_fork_rng(rng),
            incarnation=incarnation,
            options=ReportOptions(options.store_region),
            events=ports.events,
        )
        self._connections = ConnectionPool(connector=ports.connector)
        source: SlotSource = self._slots.source
        if options.slot_source_factory is not None:
            source = options.slot_source_factory(directory, _fork_rng(rng))
        self._dispatcher = Dispatcher(
            readiness=directory,
            admission=PlanAdmission(own=own, directory=directory),
            attempts=AttemptRunner(
                slot_source=source,
                connections=self._connections,
                budget=RetryBudget(),
                hedge_policy=LatencyHedgePolicy(),
                on_load_report=self._on_load_report,
            ),
            records=InMemoryRecords()
            if options.is_unshared
            else self._records,
            allowances=(
                UnlimitedAllowances()
                if options.is_unshared
                else self._allowances
            ),
            report=self._report,
        )

    @property
    def dispatcher(self) -> Dispatcher:
        """Dispatcher of the requests of this instance."""
        return self._dispatcher

    @property
    def directory(self) -> Directory:
        """The configuration in force and the servers in service."""
        return self._control.directory

    @property
    def control(self) -> ControlPlane:
        """Peers, membership and configuration."""
        return self._control

    @property
    def report(self) -> SegmentReportWriter:
        """Report writer of this instance."""
        return self._report

    @property
    def slots(self) -> SharedSlots:
        """Slots that this instance borrows from and lends to its peers."""
        return self._slots

    @property
    def records(self) -> StoreIdempotencyRecords:
        """Idempotency records."""
        return self._records

    async def start(self) -> None:
        """Start the tasks of all components and return when they run."""
        self._control.start()
        self._slots.start()
        self._allowances.start()
        self._report.start()

    async def stop(self) -> None:
        """Stop gracefully.

        Refuse new requests, finish those in flight, return slots and other
        shared state, and leave the fleet.
        Further calls wait for the end of the first one.
        """
        if self._stopping is None:
            self._stopping = asyncio.create_task(self._stop())
        await asyncio.shield(self._stopping)

    async def _stop(self) -> None:
        self._control.begin_stop()
        await self._dispatcher.drain()
        await self._slots.stop()
        await self._records.stop(timeout=STOP_TIMEOUT_S)
        await self._allowances.stop()
        await self._report.stop(timeout=STOP_TIMEOUT_S)
        await self._control.leave()
        await self._connections.close()

    def _on_load_report(self, server: BackendServer, load: LoadReport) -> None:
        """Announce a draining server before the platform list shows it."""
        if load.state is ServerState.DRAINING:
            self._control.facts.announce(
                kind=SERVER,
                subject=server.server_id,
                start_id=load.start_id,
                is_leaving=True,
            )


def _fork_rng(rng: random.Random) -> random.Random:
    """Create an independent generator for one component."""
    return random.Random(rng.getrandbits(64))
