"""Assembles a gateway for routes and runs it as a process on the platform.

Such a gateway has no customers; `gateway` assembles the one for customers.
Only this module imports the package `teaselrock.platform`.
`coordination.routed_instance` makes the decisions, `transport` handles the
connections.
"""

import asyncio
from collections.abc import Callable
import os
import pathlib
import random
import signal
import sys
from typing import Any
from typing import Final
from typing import TypeVar

from teaselrock.coordination.events import Event
from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.coordination.registry import InstallationView
from teaselrock.coordination.registry import RELAY_PROTOCOL
from teaselrock.coordination.registry import RouteShares
from teaselrock.coordination.route_attempts import RetryBudgetLimits
from teaselrock.coordination.routed_instance import RoutedInstance
from teaselrock.coordination.routed_instance import RoutedOptions
from teaselrock.coordination.routed_instance import RoutedPorts
from teaselrock.daemon import allocator
from teaselrock.daemon import event_loop
from teaselrock.daemon.caller_limit_log import CallerLimitLog
from teaselrock.daemon.logs import EventLog
from teaselrock.daemon.metrics import GatewayMetrics
from teaselrock.daemon.rejection_log import RejectionLog
from teaselrock.daemon.routed_metrics import RoutedCollector
from teaselrock.platform import documents
from teaselrock.platform import headers
from teaselrock.platform import settings as platform_settings
from teaselrock.platform import store
from teaselrock.platform.settings import ProcessSettings
from teaselrock.platform.store_client import StoreClient
from teaselrock.state import BackendServer
from teaselrock.state.configuration import Document
from teaselrock.state.configuration import empty_document
from teaselrock.transport.backend import HttpConnector
from teaselrock.transport.caller_listener import CallerListener
from teaselrock.transport.connection_table import connection_limit
from teaselrock.transport.operators_listener import make_operators_listener
from teaselrock.transport.operators_pages import OperatorsSource
from teaselrock.transport.relay_link import StreamRelayLink
from teaselrock.transport.request_memory import DEFAULT_MEMORY_BYTES
from teaselrock.transport.request_memory import RequestMemory
from teaselrock.transport.response_memory import response_limit
from teaselrock.transport.response_memory import ResponseMemory
from teaselrock.transport.routed_front_end import RoutedFrontEnd
from teaselrock.transport.unread_responses import UnreadResponses

T = TypeVar('T')

EXIT_OK: Final = 0
EXIT_NOT_STARTED: Final = 1
# After SIGTERM the platform still sends new connections until two readiness
# checks have failed; it checks once a second.
STOP_DELAY_S: Final = 2.5
# Part of the platform's stop grace period that is reserved for the exit of the
# process.
PROCESS_EXIT_MARGIN_S: Final = 0.5
# The settings file may also change without SIGHUP.
SETTINGS_POLL_INTERVAL_S: Final = 2.0


class _RoutedMetricsView:
    """`MeasuredView` of the routed instance, which has no customers."""

    def __init__(
        self, *, view: InstallationView, is_ready: Callable[[], bool]
    ) -> None:
        self._view = view
        self._is_ready = is_ready
        self._document = empty_document()

    @property
    def version(self) -> int:
        """Version of the routing table in force."""
        return self._view.table.version

    @property
    def document(self) -> Document:
        """An empty document, so that no customer is a label value."""
        return self._document

    @property
    def is_ready(self) -> bool:
        """Whether the gateway accepts new connections."""
        return self._is_ready()


class PlatformGateway:
    """A gateway process on the platform.

    `path` is the settings file, which is read again when it changes.
    """

    def __init__(
        self, *, settings: ProcessSettings, path: pathlib.Path
    ) -> None:
        self._settings = settings
        self._path = path
        self._is_listening = False
        self._is_stopping = False
        self._metrics = GatewayMetrics()
        self._events = EventLog(
            instance_id=settings.instance_id,
            level='info',
            on_event=self._metrics.on_event,
            on_dropped=self._metrics.on_log_line_dropped,
            stream=sys.stdout,
        )
        self._response_memory = ResponseMemory(
            limit_bytes=response_limit(settings.limits.memory_bytes)
        )
        limit_observer = CallerLimitLog(
            events=self._events, metrics=self._metrics
        )
        memory_bytes = settings.limits.memory_bytes or DEFAULT_MEMORY_BYTES
        request_memory = RequestMemory(memory_bytes=memory_bytes)
        unread_responses = UnreadResponses(
            memory_bytes=memory_bytes, observer=limit_observer
        )
        self._store = StoreClient(
            address=(
                f'{settings.store_address.host}:{settings.store_address.port}'
            ),
            memory=self._response_memory,
        )
        self._instance = self._make_instance()
        view = self._instance.view
        self._metrics.register_instance(
            view=_RoutedMetricsView(view=view, is_ready=lambda: self.is_ready),
            in_flight=lambda: self._instance.dispatcher.in_flight,
            request_memory=request_memory,
            unread_responses=unread_responses,
            collector=RoutedCollector(
                read_stats=lambda: self._instance.stats,
                store_calls=lambda: self._store.calls,
                store_era=lambda: self._store.era,
                responses=self._response_memory,
            ),
        )
        self._caller_listener = CallerListener(
            handler=RoutedFrontEnd(
                dispatcher=self._instance.dispatcher,
                view=view,
                shares=RouteShares(rng=random.Random()),
                dialect=headers.PlatformCallerDialect(),
                observer=self._metrics,
                rejection_observer=RejectionLog(
                    events=self._events, metrics=self._metrics
                ),
            ),
            memory=request_memory,
            unread_responses=unread_responses,
            observer=limit_observer,
            max_connections=connection_limit(
                descriptors=settings.limits.max_descriptors,
                memory_bytes=memory_bytes,
            ),
        )
        self._operators_listener = make_operators_listener(
            source=OperatorsSource(
                is_alive=lambda: True,
                is_ready=lambda: self.is_ready,
                metrics=self._metrics.exposition,
                status=self._status,
            ),
            ready_path=platform_settings.READY_PATH,
        )
        self._settings_task: asyncio.Task[None] | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the platform may send new connections."""
        return (
            self._is_listening
            and not self._is_stopping
            and self._instance.view.is_complete
        )

    async def start(self) -> None:
        """Start all components, then listen for callers.

        Raises `OSError` if an address cannot be bound.
        """
        self._events.start()
        await self._instance.start()
        readiness = self._settings.operators_address
        await self._operators_listener.start(
            host=readiness.host, port=readiness.port
        )
        callers = self._settings.caller_address
        await self._caller_listener.start(host=callers.host, port=callers.port)
        self._is_listening = True
        self._settings_task = asyncio.create_task(self._poll_settings())
        # The process id, only to tell processes apart; unlike in `gateway`, it
        # does not rise with each restart.
        self._events.emit(event=Event.GATEWAY_STARTED, incarnation=os.getpid())

    async def stop(self) -> None:
        """Stop gracefully within the platform's stop grace period."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self._events.emit(event=Event.GATEWAY_STOPPING)
        if self._settings_task is not None:
            self._settings_task.cancel()
        loop = asyncio.get_running_loop()
        ends_at = (
            loop.time()
            + self._settings.limits.stop_grace_s
            - PROCESS_EXIT_MARGIN_S
        )
        dispatcher = self._instance.dispatcher
        dispatcher.begin_stop(ends_at=ends_at)
        self._caller_listener.begin_close()
        await asyncio.sleep(STOP_DELAY_S)
        dispatcher.refuse_new()
        self._caller_listener.stop_accepting()
        await self._caller_listener.wait_closed(
            limit=max(0.0, ends_at - loop.time())
        )
        await self._instance.stop()
        await self._store.close()
        self._operators_listener.stop_accepting()
        await self._operators_listener.wait_closed(limit=0.0)
        self._events.emit(event=Event.GATEWAY_STOPPED)
        self._events.stop()

    def reload(self) -> None:
        """Read the settings again; invalid ones are reported and ignored.

        Only the stop grace period takes effect without a restart.
        """
        loaded = platform_settings.load(self._path)
        if loaded.is_error():
            self._events.emit(
                event=Event.SETTINGS_INVALID,
                field=loaded.error.field,
                reason=loaded.error.reason,
            )
            return
        if loaded.ok == self._settings:
            return
        self._settings = loaded.ok
        self._events.emit(event=Event.SETTINGS_RELOADED)

    async def _poll_settings(self) -> None:
        """Reload the settings when the file's modification time changes."""
        last_modified_ns = _modified_at_ns(self._path)
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            modified_ns = _modified_at_ns(self._path)
            if modified_ns != last_modified_ns:
                last_modified_ns = modified_ns
                self.reload()

    def _make_instance(self) -> RoutedInstance:
        settings = self._settings
        zone_regions = settings.zone_regions

        def decode_server(name: str, spec: object) -> BackendServer | None:
            return documents.decode_server(name, spec, zone_regions)

        return RoutedInstance(
            ports=RoutedPorts(
                connector=HttpConnector(
                    dialect=headers.PlatformBackendDialect(
                        health_target=self._health_target
                    ),
                    memory=self._response_memory,
                ),
                tables=self._object_source(
                    store.TABLES, documents.decode_table
                ),
                servers=self._object_source(store.SERVERS, decode_server),
                zones_out=self._object_source(
                    store.ZONES_OUT, documents.decode_zone_out
                ),
                registry=store.StoredInstanceRegistry(
                    client=self._store, events=self._events
                ),
                link=StreamRelayLink(
                    host=settings.peer_host,
                    port=settings.peer_ports[0],
                    on_invalid=self._on_invalid_frame,
                ),
                events=self._events,
                attempt_observer=self._metrics,
            ),
            options=RoutedOptions(
                own=InstanceRegistration(
                    settings.instance_id,
                    settings.region,
                    settings.zone,
                    f'{settings.peer_host}:{settings.peer_ports[0]}',
                    settings.limits.link_mbps,
                    RELAY_PROTOCOL,
                ),
                regions=frozenset(zone_regions.values()),
                is_first_start=settings.is_first_start,
                retry_budget=RetryBudgetLimits(
                    settings.limits.retry_share, settings.limits.retry_window_s
                ),
            ),
            rng=random.Random(),
        )

    def _object_source(
        self, kind: str, decode: Callable[[str, Any], T | None]
    ) -> store.StoredObjectSource[T]:
        return store.StoredObjectSource(
            client=self._store, kind=kind, decode=decode, events=self._events
        )

    def _on_invalid_frame(self, detail: str) -> None:
        self._metrics.on_invalid_frame()
        self._events.emit(event=Event.PEER_FRAME_INVALID, detail=detail)

    def _health_target(self, service: str) -> str:
        profile = self._instance.view.table.services.get(service)
        if profile is None:
            return headers.DEFAULT_HEALTH_TARGET
        return profile.health_target

    def _status(self) -> dict[str, object]:
        return {
            'instance': self._settings.instance_id,
            'version': self._instance.view.table.version,
            'store_era': self._store.era,
            'ready': self.is_ready,
            'in_flight': self._instance.dispatcher.in_flight,
            'connections': self._caller_listener.connections,
        }


def _modified_at_ns(path: pathlib.Path) -> int:
    """Modification time in nanoseconds, 0 if the file cannot be read."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


async def _run(settings: ProcessSettings, path: pathlib.Path) -> int:
    gateway = PlatformGateway(settings=settings, path=path)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    try:
        await gateway.start()
    except OSError as error:
        sys.stderr.write(f'cannot start: {error}\n')
        return EXIT_NOT_STARTED
    await stop_requested.wait()
    await gateway.stop()
    return EXIT_OK


def run(path: pathlib.Path) -> int:
    """Run a gateway until SIGTERM or SIGINT; returns the exit code."""
    loaded = platform_settings.load(path)
    if loaded.is_error():
        error = loaded.error
        sys.stderr.write(
            f'{path}: missing or invalid: {error.field} {error.reason}\n'
        )
        return EXIT_NOT_STARTED
    allocator.return_large_blocks()
    return event_loop.run(_run(loaded.ok, path))


def main() -> int:
    """Run with the settings file that the environment names."""
    return run(platform_settings.settings_path())
