"""Assembles a gateway for customers and runs it as a process.

Such a gateway has plans, slots and a report; `platform_gateway` assembles the
one for routes. `options` holds the typed settings; `coordination.instance`
makes the decisions. The operators' endpoint reads the instance from its own
threads.
"""

import asyncio
import pathlib
import random
import resource
import signal
import socket
import sys
import time
from typing import Final
from typing import NamedTuple
from typing import TypedDict

from aiohttp import web

from teaselrock.coordination.events import Event
from teaselrock.coordination.in_memory import FixedDirectory
from teaselrock.coordination.instance import GatewayInstance
from teaselrock.coordination.instance import InstanceOptions
from teaselrock.coordination.instance import InstancePorts
from teaselrock.coordination.instance import RunnableInstance
from teaselrock.coordination.standalone import StandaloneInstance
from teaselrock.daemon import allocator
from teaselrock.daemon import event_loop
from teaselrock.daemon import instance_stats
from teaselrock.daemon import options as options_module
from teaselrock.daemon import settings as settings_module
from teaselrock.daemon.caller_limit_log import CallerLimitLog
from teaselrock.daemon.logs import EventLog
from teaselrock.daemon.metrics import GatewayMetrics
from teaselrock.daemon.null_ports import NoPeerLink
from teaselrock.daemon.null_ports import NoPlatformList
from teaselrock.daemon.null_ports import NoStore
from teaselrock.daemon.options import GatewayOptions
from teaselrock.daemon.settings import GatewaySettings
from teaselrock.daemon.slot_metrics import InstanceStatsCollector
from teaselrock.protocol import MessageCodec
from teaselrock.protocol.document_codec import JsonDocumentCodec
from teaselrock.protocol.messages import KINDS
from teaselrock.state.configuration import empty_document
from teaselrock.transport.accept_queue import BACKLOG
from teaselrock.transport.backend import HttpConnector
from teaselrock.transport.caller_server import CallerServer
from teaselrock.transport.connection_table import ACCEPT_BATCH
from teaselrock.transport.connection_table import connection_limit
from teaselrock.transport.front_end import FrontEnd
from teaselrock.transport.operators_endpoint import OperatorsEndpoint
from teaselrock.transport.operators_pages import OperatorsSource
from teaselrock.transport.request_memory import RequestMemory
from teaselrock.transport.response_memory import response_limit
from teaselrock.transport.response_memory import ResponseMemory
from teaselrock.transport.store import HttpPlatformList
from teaselrock.transport.store import HttpStore
from teaselrock.transport.store import StoreHttpClient
from teaselrock.transport.unread_responses import UnreadResponses
from teaselrock.transport.zmq_peer_link import ZmqPeerLink

EXIT_OK: Final = 0
EXIT_NOT_STARTED: Final = 1
# Time for callers that read their last response slowly. At stop, requests may
# take this long after the longest deadline of the services.
SLOW_CALLER_MARGIN_S: Final = 10.0
# Time within which the event loop must run a callback.
LIVENESS_TIMEOUT_S: Final = 1.0


class GatewayStatus(TypedDict):
    """Response of `/status`."""

    instance: str
    region: str
    zone: str
    incarnation: int
    version: int
    ready: bool
    stopping: bool
    in_flight: int
    members: list[instance_stats.MemberStatus]
    slots_held: int
    slots_lent: int
    rows_held: int
    rows_unconfirmed: int
    record_ends_pending: int
    control_bytes: int


def build_instance(
    *, options: GatewayOptions, incarnation: int, ports: InstancePorts
) -> RunnableInstance:
    """Create the instance of a gateway, standalone if there is no store."""
    if options.store_url is None:
        return StandaloneInstance(
            own=options.own_instance,
            connector=ports.connector,
            directory=FixedDirectory(
                document=options.document or empty_document(),
                servers=options.servers,
            ),
            rng=random.Random(),
        )
    return GatewayInstance(
        own=options.own_instance,
        incarnation=incarnation,
        ports=ports,
        options=InstanceOptions(
            store_region=options.store_region,
            seeds=options.seeds,
            operators=(
                f'{options.operators_listen.host}:'
                f'{options.operators_listen.port}'
                if options.operators_listen
                else ''
            ),
        ),
        rng=random.Random(),
    )


class _Transports(NamedTuple):
    """Transports to peers and to the store, which the gateway closes."""

    link: ZmqPeerLink | None
    store_client: StoreHttpClient | None


class Gateway:
    """A gateway process: an instance with its transports and metrics."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
    ) -> None:
        options = options_module.from_settings(settings)
        self._options = options
        self._is_listening = False
        self._is_stopping = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._metrics = GatewayMetrics()
        self._events = EventLog(
            instance_id=options.own_instance.instance_id,
            level=options.log_level,
            on_event=self._metrics.on_event,
            on_dropped=self._metrics.on_log_line_dropped,
        )
        self._request_memory = RequestMemory(memory_bytes=options.memory_bytes)
        self._caller_limit_log = CallerLimitLog(
            events=self._events, metrics=self._metrics
        )
        self._unread_responses = UnreadResponses(
            memory_bytes=options.memory_bytes, observer=self._caller_limit_log
        )
        self._transports = self._make_transports()
        # The start time, so that each restart has a higher incarnation.
        self._incarnation = time.time_ns() // 1_000_000
        self._instance = build_instance(
            options=options,
            incarnation=self._incarnation,
            ports=self._make_ports(),
        )
        self._metrics.register_instance(
            view=self._instance.directory,
            in_flight=lambda: self._instance.dispatcher.in_flight,
            request_memory=self._request_memory,
            unread_responses=self._unread_responses,
            collector=InstanceStatsCollector(
                read_stats=lambda: instance_stats.collect_stats(self._instance)
            ),
        )
        self._front_end = FrontEnd(
            dispatcher=self._instance.dispatcher,
            directory=self._instance.directory,
            digest_key=options.digest_key,
            observer=self._metrics,
            memory=self._request_memory,
            limit_observer=self._caller_limit_log,
        )
        self._operators_endpoint = self._make_operators_endpoint()
        self._caller_server: CallerServer | None = None
        self._runner: web.ServerRunner | None = None
        self._listening: socket.socket | None = None
        self._site: web.SockSite | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the gateway accepts new requests."""
        return (
            self._is_listening
            and not self._is_stopping
            and self._instance.directory.is_ready
        )

    @property
    def status(self) -> GatewayStatus:
        """Snapshot for operators; may be read from any thread."""
        own = self._options.own_instance
        stats = instance_stats.collect_stats(self._instance)
        return {
            'instance': own.instance_id,
            'region': own.zone.region,
            'zone': own.zone.name,
            'incarnation': self._incarnation,
            'version': self._instance.directory.version,
            'ready': self.is_ready,
            'stopping': self._is_stopping,
            'in_flight': self._instance.dispatcher.in_flight,
            'members': instance_stats.member_statuses(self._instance),
            'slots_held': stats.slots_held,
            'slots_lent': stats.slots_lent,
            'rows_held': stats.rows_held,
            'rows_unconfirmed': stats.rows_unconfirmed,
            'record_ends_pending': stats.record_ends_pending,
            'control_bytes': stats.peers.sent_bytes,
        }

    async def start(self) -> None:
        """Start all components, then listen for callers.

        Raises `OSError` if an address cannot be bound.
        """
        self._loop = asyncio.get_running_loop()
        self._caller_server = CallerServer(
            self._front_end.handle,
            memory=self._request_memory,
            unread_responses=self._unread_responses,
            observer=self._caller_limit_log,
            max_connections=connection_limit(
                descriptors=_descriptor_limit(),
                memory_bytes=self._options.memory_bytes,
            ),
        )
        self._events.start()
        if self._operators_endpoint is not None:
            self._operators_endpoint.start()
        if self._transports.link is not None:
            await self._transports.link.start()
        await self._instance.start()
        self._runner = web.ServerRunner(self._caller_server, access_log=None)
        await self._runner.setup()
        address = self._options.listen
        self._listening = socket.create_server(
            address,
            family=socket.AF_INET6 if ':' in address[0] else socket.AF_INET,
            backlog=BACKLOG,
        )
        self._site = web.SockSite(
            self._runner, self._listening, backlog=ACCEPT_BATCH
        )
        await self._site.start()
        # asyncio accepts as many in a turn as the queue may hold.
        self._listening.listen(BACKLOG)
        self._is_listening = True
        self._events.emit(
            event=Event.GATEWAY_STARTED, incarnation=self._incarnation
        )

    async def stop(self) -> None:
        """Stop gracefully; further calls do nothing.

        The gateway reports that it is not ready, waits `stop_delay_s`, stops
        listening, finishes the requests in progress and leaves the membership.
        """
        if self._is_stopping:
            return
        self._is_stopping = True
        self._events.emit(event=Event.GATEWAY_STOPPING)
        self._front_end.close_connections()
        await asyncio.sleep(self._options.stop_delay_s)
        if (
            self._caller_server is not None
            and self._site is not None
            and self._listening is not None
        ):
            await self._caller_server.stop_accepting(
                site=self._site, listening=self._listening
            )
        if self._runner is not None and self._caller_server is not None:
            # Set at stop, since a new configuration may change the deadlines.
            self._caller_server.set_shutdown_timeout(
                seconds=self._shutdown_timeout_s()
            )
            await self._runner.cleanup()
        await self._instance.stop()
        await self._close()

    async def _close(self) -> None:
        if self._transports.link is not None:
            self._transports.link.close()
        if self._transports.store_client is not None:
            self._transports.store_client.close()
        self._events.emit(event=Event.GATEWAY_STOPPED)
        if self._operators_endpoint is not None:
            await asyncio.to_thread(self._operators_endpoint.stop)
        self._events.stop()

    def _make_transports(self) -> _Transports:
        options = self._options
        link = None
        if options.own_instance.address and options.curve_keys is not None:
            link = ZmqPeerLink(
                own=options.own_instance,
                keys=options.curve_keys,
                codec=MessageCodec(kinds=KINDS),
                on_invalid=self._on_invalid_frame,
            )
        store_client = None
        if options.store_url is not None:
            store_client = StoreHttpClient(url=options.store_url)
        return _Transports(link, store_client)

    def _make_ports(self) -> InstancePorts:
        link, store_client = self._transports
        return InstancePorts(
            link=link or NoPeerLink(),
            store=HttpStore(client=store_client)
            if store_client
            else NoStore(),
            platform=(
                HttpPlatformList(client=store_client)
                if store_client
                else NoPlatformList()
            ),
            connector=HttpConnector(
                memory=ResponseMemory(
                    limit_bytes=response_limit(self._options.memory_bytes)
                )
            ),
            codec=JsonDocumentCodec(),
            events=self._events,
            observer=self._metrics,
            wall_clock=time.time,
        )

    def _make_operators_endpoint(self) -> OperatorsEndpoint | None:
        address = self._options.operators_listen
        if address is None:
            return None
        return OperatorsEndpoint(
            host=address.host,
            port=address.port,
            source=OperatorsSource(
                is_alive=self._is_alive,
                is_ready=lambda: self.is_ready,
                metrics=self._metrics.exposition,
                status=lambda: self.status,
            ),
        )

    def _is_alive(self) -> bool:
        """Whether the event loop runs callbacks; called in another thread."""
        if self._loop is None:
            return False
        try:
            asyncio.run_coroutine_threadsafe(
                asyncio.sleep(0), self._loop
            ).result(LIVENESS_TIMEOUT_S)
        except (TimeoutError, RuntimeError):
            return False
        return True

    def _on_invalid_frame(self, detail: str) -> None:
        self._metrics.on_invalid_frame()
        self._events.emit(event=Event.PEER_FRAME_INVALID, detail=detail)

    def _shutdown_timeout_s(self) -> float:
        services = self._instance.directory.document['services'].values()
        longest_ms = max(
            (service['deadline_ms'] for service in services), default=0
        )
        return longest_ms / 1000 + SLOW_CALLER_MARGIN_S


def _descriptor_limit() -> int | None:
    """Descriptors that the process may open, None without a limit."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if limit == resource.RLIM_INFINITY else limit


async def _run(settings: GatewaySettings) -> int:
    gateway = Gateway(settings=settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()

    def on_signal(signal_number: int, frame: object) -> None:
        """Begin to stop; further signals have no effect."""
        if not loop.is_closed():
            loop.call_soon_threadsafe(stop_requested.set)

    # Not `loop.add_signal_handler`: the loop restores the default handlers
    # when it closes, so a second signal could kill the process during stop.
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, on_signal)
    try:
        await gateway.start()
    except OSError as error:
        sys.stderr.write(f'cannot start: {error}\n')
        await gateway.stop()
        return EXIT_NOT_STARTED
    await stop_requested.wait()
    await gateway.stop()
    # At exit the interpreter restores the default handlers, but ignored
    # signals stay ignored.
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, signal.SIG_IGN)
    return EXIT_OK


def run(path: pathlib.Path) -> int:
    """Run a gateway until SIGTERM or SIGINT; returns the exit code."""
    loaded = settings_module.load(path)
    if loaded.is_error():
        for diagnostic in loaded.error:
            sys.stderr.write(f'{path}:{diagnostic}\n')
        return EXIT_NOT_STARTED
    allocator.return_large_blocks()
    return event_loop.run(_run(loaded.ok))
