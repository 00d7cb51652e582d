"""Assembly of an instance with routes and load checks, for an installation.

It has a `dispatcher` as `instance.GatewayInstance` has, but neither plans nor
leased slots. Routes, servers and zones come from the installation's store, not
from the operators' configuration document.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import random
from typing import Final
from typing import NamedTuple
from typing import TypeVar

from teaselrock.coordination.choice import AnnouncedLimits
from teaselrock.coordination.choice import CheckCounts
from teaselrock.coordination.choice import CheckedSlots
from teaselrock.coordination.choice import LatencyEstimates
from teaselrock.coordination.choice import LoadChecks
from teaselrock.coordination.choice import ServerHistory
from teaselrock.coordination.choice import ServerNotices
from teaselrock.coordination.choice import ServerRates
from teaselrock.coordination.choice import SharedIdleLimit
from teaselrock.coordination.connections import ConnectionPool
from teaselrock.coordination.dispatch import Dispatcher
from teaselrock.coordination.events import Events
from teaselrock.coordination.in_memory import NoRecords
from teaselrock.coordination.in_memory import UnlimitedAllowances
from teaselrock.coordination.logged_report import AttemptObserver
from teaselrock.coordination.logged_report import LoggedReport
from teaselrock.coordination.ports import BackendConnector
from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.coordination.ports import InstanceRegistry
from teaselrock.coordination.ports import ObjectSource
from teaselrock.coordination.ports import RelayLink
from teaselrock.coordination.rate_permits import InstanceRoster
from teaselrock.coordination.rate_permits import PermitCounts
from teaselrock.coordination.rate_permits import PermitLender
from teaselrock.coordination.rate_permits import RatePermits
from teaselrock.coordination.registration import Registration
from teaselrock.coordination.registry import InstallationSync
from teaselrock.coordination.registry import InstallationView
from teaselrock.coordination.registry import KindWatch
from teaselrock.coordination.registry import RegionRelay
from teaselrock.coordination.registry import StoreConnectivity
from teaselrock.coordination.registry import StoreWatch
from teaselrock.coordination.registry.mirror import Mirror
from teaselrock.coordination.registry.watch import POLL_WAIT_S
from teaselrock.coordination.registry.watch import SHORT_POLL_WAIT_S
from teaselrock.coordination.route_attempts import RetryBudgetLimits
from teaselrock.coordination.route_attempts import RouteAdmission
from teaselrock.coordination.route_attempts import RouteAttemptRunners
from teaselrock.coordination.routing import BudgetCounts
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state.routes import RoutingTable

T = TypeVar('T')

# Servers close idle connections after 10 s or less.
PRUNE_INTERVAL_S: Final = 5.0


class RoutedPorts(NamedTuple):
    """Implementations of the ports that one instance is given."""

    connector: BackendConnector
    tables: ObjectSource[RoutingTable]
    servers: ObjectSource[BackendServer]
    zones_out: ObjectSource[str]
    registry: InstanceRegistry
    link: RelayLink
    events: Events
    attempt_observer: AttemptObserver


class RoutedOptions(NamedTuple):
    """Options of one instance.

    `is_first_start` means that all instances start now for the first time.
    """

    own: InstanceRegistration
    regions: frozenset[str]
    is_first_start: bool = False
    retry_budget: RetryBudgetLimits = RetryBudgetLimits()


class RoutedStats(NamedTuple):
    """Values of one instance for its metrics.

    `view_age` and `routes_confirmed_age` are in seconds; `servers` is the
    number of servers in service, `rate_limited_servers` that of servers that
    announce a rate limit, and `announced_rates` the sum of these limits in
    requests per second. `leaving_servers` and `paused_servers` are the numbers
    of those that want no more requests, or none for a while, by their own
    responses. All of them and `retry_budgets` are by service. `permits` counts
    those for servers with limited rates.
    """

    view_age: float
    routes_confirmed_age: float
    is_watching: bool
    idle_connections: int
    servers: Mapping[str, int]
    checks: CheckCounts
    retry_budgets: Mapping[str, BudgetCounts]
    rate_limited_servers: Mapping[str, int]
    announced_rates: Mapping[str, float]
    leaving_servers: Mapping[str, int]
    paused_servers: Mapping[str, int]
    permits: PermitCounts


class RoutedInstance:
    """An instance with routes, whose components start and stop together."""

    def __init__(
        self,
        *,
        ports: RoutedPorts,
        options: RoutedOptions,
        rng: random.Random,
    ) -> None:
        own = options.own
        self._rng = rng
        self._view = InstallationView()
        connectivity = StoreConnectivity(events=ports.events)
        self._sync = InstallationSync(
            view=self._view,
            connectivity=connectivity,
            events=ports.events,
            on_removed=self._drop_server,
            on_restored=lambda: self._registration.on_restored(),
        )
        self._watch = self._make_watch(ports, connectivity)
        self._roster = InstanceRoster(own=own)
        self._lender = PermitLender(roster=self._roster, region=own.region)
        self._permits = RatePermits(
            roster=self._roster, lender=self._lender, link=ports.link
        )
        self._relay = RegionRelay(
            own=own,
            link=ports.link,
            sync=self._sync,
            watch=self._watch,
            events=ports.events,
            serve_other=self._lender.serve,
        )
        self._registration = Registration(
            own=own,
            registry=ports.registry,
            roster=self._roster,
            relay=self._relay,
            lender=self._lender,
            era=lambda: self._sync.era,
            is_first_start=options.is_first_start,
            rng=rng,
        )
        self._connections = ConnectionPool(
            connector=ports.connector,
            idle_limit=SharedIdleLimit(view=self._view, roster=self._roster),
        )
        history = ServerHistory()
        self._notices = ServerNotices(events=ports.events)
        self._checks = LoadChecks(
            connector=ports.connector,
            connections=self._connections,
            history=history,
            notices=self._notices,
            events=ports.events,
        )
        self._announced_limits = AnnouncedLimits(events=ports.events)
        self._slots = CheckedSlots(
            own_zone=AvailabilityZone(own.region, own.zone),
            view=self._view,
            load_checks=self._checks,
            server_rates=ServerRates(
                view=self._view,
                announced_limits=self._announced_limits,
                permits=self._permits,
                roster=self._roster,
                rng=random.Random(rng.getrandbits(64)),
            ),
            history=history,
            notices=self._notices,
            latency_estimates=LatencyEstimates(),
            rng=random.Random(rng.getrandbits(64)),
        )
        self._runners = RouteAttemptRunners(
            slot_source=self._slots,
            connections=self._connections,
            limits=options.retry_budget,
        )
        self._dispatcher = Dispatcher(
            readiness=self._view,
            admission=RouteAdmission(regions=options.regions),
            attempts=self._runners,
            records=NoRecords(),
            allowances=UnlimitedAllowances(),
            report=LoggedReport(
                events=ports.events, observer=ports.attempt_observer
            ),
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def dispatcher(self) -> Dispatcher:
        """Dispatcher of the requests of this instance."""
        return self._dispatcher

    @property
    def view(self) -> InstallationView:
        """Routes, servers and zones, as last read by this instance."""
        return self._view

    @property
    def stats(self) -> RoutedStats:
        """Current values of the components, for metrics."""
        return RoutedStats(
            self._relay.view_age,
            self._view.table_freshness.age,
            self._watch.is_running,
            self._connections.idle_count,
            self._view.in_service_counts,
            self._checks.counts,
            self._runners.budget_counts,
            self._announced_limits.server_counts,
            self._announced_limits.total_rates,
            self._notices.leaving_counts,
            self._notices.paused_counts,
            self._permits.counts,
        )

    async def start(self) -> None:
        """Start the tasks of all components and return when they run."""
        await self._relay.start()
        self._tasks = [
            asyncio.create_task(self._registration.run()),
            asyncio.create_task(self._prune_connections()),
        ]

    async def stop(self) -> None:
        """Wait for the requests in flight, then end the tasks.

        Unlike `GatewayInstance.stop`, it does not refuse new requests, so the
        caller must stop accepting them first.
        """
        await self._dispatcher.drain()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._permits.close()
        await self._relay.stop()
        self._sync.stop()
        await self._connections.close()

    def _make_watch(
        self, ports: RoutedPorts, connectivity: StoreConnectivity
    ) -> StoreWatch:
        def watch_kind(
            name: str,
            source: ObjectSource[T],
            mirror: Mirror[T],
            wait: float = POLL_WAIT_S,
            on_current: Callable[[float], None] = lambda at: None,
        ) -> KindWatch[T]:
            return KindWatch(
                name=name,
                source=source,
                mirror=mirror,
                connectivity=connectivity,
                rng=self._rng,
                wait=wait,
                on_current=on_current,
            )

        return StoreWatch(
            watches=(
                watch_kind(
                    'routes',
                    ports.tables,
                    self._sync.tables,
                    SHORT_POLL_WAIT_S,
                    lambda at: self._view.table_freshness.confirm(at=at),
                ),
                watch_kind('servers', ports.servers, self._sync.servers),
                watch_kind('zones-out', ports.zones_out, self._sync.zones_out),
            ),
            connectivity=connectivity,
        )

    def _drop_server(self, server_id: str) -> None:
        self._connections.drop(server_id=server_id)
        self._slots.drop_server(server_id)

    async def _prune_connections(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_S)
            self._connections.prune()
