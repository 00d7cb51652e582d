"""Assembly of a gateway on the users' platform, and its life as a process.

The one module that imports `platform`. `coordination.routed_instance` holds
the decisions, `transport` the connections.
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
from teaselrock.coordination.registry import RouteShares
from teaselrock.coordination.routed import RetryBudgetLimits
from teaselrock.coordination.routed_instance import RoutedInstance
from teaselrock.coordination.routed_instance import RoutedOptions
from teaselrock.coordination.routed_instance import RoutedPorts
from teaselrock.daemon.logs import EventLog
from teaselrock.daemon.metrics import GatewayMetrics
from teaselrock.daemon.routed_metrics import RoutedCollector
from teaselrock.platform import documents
from teaselrock.platform import headers
from teaselrock.platform import settings as platform_settings
from teaselrock.platform import store
from teaselrock.platform.settings import ProcessSettings
from teaselrock.state import BackendServer
from teaselrock.state.configuration import Document
from teaselrock.state.configuration import empty_document
from teaselrock.transport.backend import HttpConnector
from teaselrock.transport.caller_connection import CallerListener
from teaselrock.transport.operators_listener import make_operators_listener
from teaselrock.transport.operators_pages import OperatorsSource
from teaselrock.transport.relay_link import StreamRelayLink
from teaselrock.transport.routed_front_end import RoutedFrontEnd

T = TypeVar('T')

EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1
# After SIGTERM the platform still sends new connections until it has missed
# two answers of the readiness check, which it asks for once a second.
STOP_DELAY_S: Final = 2.5
# Part of the stop's grace that is kept for the end of the process.
STOP_MARGIN_S: Final = 0.5
# Settings may also change without a signal.
SETTINGS_POLL_S: Final = 2.0


class _RoutedView:
    """The view as `GatewayMetrics` reads it; it names no customers."""

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
        """An empty document."""
        return self._document

    @property
    def is_ready(self) -> bool:
        """Whether the instance takes new connections."""
        return self._is_ready()


class PlatformGateway:
    """One gateway instance on the platform."""

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
        self._store = store.StoreClient(
            address=f'{settings.store.host}:{settings.store.port}'
        )
        self._instance = self._make_instance()
        view = self._instance.view
        self._metrics.register_instance(
            view=_RoutedView(view=view, is_ready=lambda: self.is_ready),
            in_flight=lambda: self._instance.dispatcher.in_flight,
            collector=RoutedCollector(
                read_stats=lambda: self._instance.stats,
                store_calls=lambda: self._store.calls,
            ),
        )
        self._port = CallerListener(
            handler=RoutedFrontEnd(
                dispatcher=self._instance.dispatcher,
                view=view,
                shares=RouteShares(rng=random.Random()),
                dialect=headers.PlatformCallerDialect(),
                observer=self._metrics,
            )
        )
        self._operators = make_operators_listener(
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
        """Start the parts, then listen; `OSError` if that fails."""
        self._events.start()
        await self._instance.start()
        readiness = self._settings.readiness
        await self._operators.start(host=readiness.host, port=readiness.port)
        callers = self._settings.callers
        await self._port.start(host=callers.host, port=callers.port)
        self._is_listening = True
        self._settings_task = asyncio.create_task(self._follow_settings())
        self._events.emit(event=Event.GATEWAY_STARTED, incarnation=os.getpid())

    async def stop(self) -> None:
        """Graceful stop within the platform's grace."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self._events.emit(event=Event.GATEWAY_STOPPING)
        if self._settings_task is not None:
            self._settings_task.cancel()
        self._port.begin_close()
        await asyncio.sleep(STOP_DELAY_S)
        self._port.stop_accepting()
        grace = self._settings.bounds.stop_grace
        await self._port.wait_closed(
            limit=max(0.0, grace - STOP_DELAY_S - STOP_MARGIN_S)
        )
        await self._instance.stop()
        await self._store.close()
        self._operators.stop_accepting()
        await self._operators.wait_closed(limit=0.0)
        self._events.emit(event=Event.GATEWAY_STOPPED)
        self._events.stop()

    def reload(self) -> None:
        """Read the settings again; what cannot be read changes nothing."""
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
        bounds = loaded.ok.bounds
        self._instance.set_cold_bounds(
            overshoot=bounds.cold_overshoot, slack=bounds.cold_slack
        )
        self._events.emit(event=Event.SETTINGS_RELOADED)

    async def _follow_settings(self) -> None:
        """Notice changes of the settings file without a signal."""
        seen = _changed_at(self._path)
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            found = _changed_at(self._path)
            if found != seen:
                seen = found
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
                    )
                ),
                tables=self._stored(store.TABLES, documents.decode_table),
                servers=self._stored(store.SERVERS, decode_server),
                zones_out=self._stored(
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
                ),
                regions=frozenset(zone_regions.values()),
                cold_overshoot=settings.bounds.cold_overshoot,
                cold_slack=settings.bounds.cold_slack,
                retry_budget=RetryBudgetLimits(
                    settings.bounds.retry_share, settings.bounds.retry_window
                ),
            ),
            rng=random.Random(),
        )

    def _stored(
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
            'ready': self.is_ready,
            'in_flight': self._instance.dispatcher.in_flight,
            'connections': self._port.connections,
        }


def _changed_at(path: pathlib.Path) -> int:
    """Time of the last change in nanoseconds, 0 if there is no file."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


async def _run(settings: ProcessSettings, path: pathlib.Path) -> int:
    gateway = PlatformGateway(settings=settings, path=path)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    try:
        await gateway.start()
    except OSError as error:
        sys.stderr.write(f'cannot start: {error}\n')
        return EXIT_REFUSED
    await stopped.wait()
    await gateway.stop()
    return EXIT_OK


def run(path: pathlib.Path) -> int:
    """Run a gateway until SIGTERM or SIGINT; returns the exit code."""
    loaded = platform_settings.load(path)
    if loaded.is_error():
        problem = loaded.error
        sys.stderr.write(f'{path}: {problem.field}: {problem.reason}\n')
        return EXIT_REFUSED
    code: int = asyncio.run(_run(loaded.ok, path))
    return code


def main() -> int:
    """Run with the settings file that the platform names."""
    return run(platform_settings.settings_path())
