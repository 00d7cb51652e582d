"""Options of a gateway process: its settings as typed values.

`settings` reads and checks the file; `gateway` assembles the process from
the options.
"""

from typing import Final
from typing import NamedTuple

from teaselrock.daemon.settings import GatewaySettings
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import Instance
from teaselrock.state.configuration import Document
from teaselrock.transport.request_memory import DEFAULT_MEMORY_BYTES
from teaselrock.transport.zmq_peer_link import CurveKeys

DEFAULT_LOG_LEVEL: Final = 'info'


class TcpAddress(NamedTuple):
    """Host and port of a TCP endpoint."""

    host: str
    port: int


class GatewayOptions(NamedTuple):
    """Options of one gateway.

    `own_instance.address` is the ZeroMQ endpoint for peers, '' for an instance
    without peers. `store_url` is None for a standalone instance, which
    takes its configuration and its servers from `document` and `servers`.
    `digest_key` is the key of the digests of idempotency keys.
    `memory_bytes` is the memory that the process may use.
    """

    own_instance: Instance
    listen: TcpAddress
    digest_key: bytes
    operators_listen: TcpAddress | None = None
    curve_keys: CurveKeys | None = None
    store_url: str | None = None
    store_region: str = ''
    seeds: tuple[Instance, ...] = ()
    log_level: str = DEFAULT_LOG_LEVEL
    stop_delay_s: float = 0.0
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    document: Document | None = None
    servers: tuple[BackendServer, ...] = ()


def from_settings(settings: GatewaySettings) -> GatewayOptions:
    """Convert settings that were checked against the schema."""
    peer_listen = settings.get('peer_listen')
    operators_listen = settings.get('operators_listen')
    return GatewayOptions(
        own_instance=Instance(
            settings['instance'],
            AvailabilityZone(settings['region'], settings['zone']),
            f'tcp://{peer_listen}' if peer_listen else '',
        ),
        listen=_parse_address(settings['listen']),
        digest_key=settings['digest_key'].encode(),
        operators_listen=(
            _parse_address(operators_listen) if operators_listen else None
        ),
        curve_keys=_curve_keys(settings),
        store_url=settings.get('store_url'),
        store_region=settings.get('store_region', ''),
        seeds=_seeds(settings),
        log_level=settings.get('log_level', DEFAULT_LOG_LEVEL),
        stop_delay_s=settings.get('stop_delay_s', 0.0),
        memory_bytes=_memory_bytes(settings),
        document=settings.get('configuration'),
        servers=_servers(settings),
    )


def _parse_address(text: str) -> TcpAddress:
    host, _, port = text.rpartition(':')
    return TcpAddress(host, int(port))


def _memory_bytes(settings: GatewaySettings) -> int:
    megabytes = settings.get('memory_mb')
    if megabytes is None:
        return DEFAULT_MEMORY_BYTES
    return megabytes * 1_000_000


def _curve_keys(settings: GatewaySettings) -> CurveKeys | None:
    public = settings.get('curve_public')
    secret = settings.get('curve_secret')
    if public is None or secret is None:
        return None
    return CurveKeys(public.encode(), secret.encode())


def _seeds(settings: GatewaySettings) -> tuple[Instance, ...]:
    return tuple(
        Instance(
            seed['instance'],
            AvailabilityZone(seed['region'], seed['zone']),
            f'tcp://{seed["peer_address"]}',
        )
        for seed in settings.get('seeds', [])
    )


def _servers(settings: GatewaySettings) -> tuple[BackendServer, ...]:
    return tuple(
        BackendServer(
            server['id'],
            server['service'],
            AvailabilityZone(server['region'], server['zone']),
            server['address'],
            server['concurrency'],
        )
        for server in settings.get('servers', [])
    )
