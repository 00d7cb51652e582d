"""Options of a gateway process: its settings as typed values.

`settings` reads and checks the file, `gateway` is assembled from this.
"""

from typing import Final
from typing import NamedTuple

from teaselrock.daemon.settings import GatewaySettings
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import Instance
from teaselrock.state.configuration import Document
from teaselrock.transport.zmq_peer_link import CurveKeys

DEFAULT_LOG_LEVEL: Final = 'info'


class Endpoint(NamedTuple):
    """A TCP address."""

    host: str
    port: int


class GatewayOptions(NamedTuple):
    """Options of one gateway.

    `own.address` is the ZeroMQ endpoint, '' without peers. `store_url` is
    None for an instance that runs alone on `document` and `servers`.
    `stop_delay` is in seconds.
    """

    own: Instance
    listen: Endpoint
    digest_key: bytes
    operators: Endpoint | None = None
    keys: CurveKeys | None = None
    store_url: str | None = None
    store_region: str = ''
    seeds: tuple[Instance, ...] = ()
    log_level: str = DEFAULT_LOG_LEVEL
    stop_delay: float = 0.0
    document: Document | None = None
    servers: tuple[BackendServer, ...] = ()


def from_settings(settings: GatewaySettings) -> GatewayOptions:
    """Options of checked settings."""
    peer_listen = settings.get('peer_listen')
    operators = settings.get('operators_listen')
    return GatewayOptions(
        own=Instance(
            settings['instance'],
            AvailabilityZone(settings['region'], settings['zone']),
            f'tcp://{peer_listen}' if peer_listen else '',
        ),
        listen=_endpoint(settings['listen']),
        digest_key=settings['digest_key'].encode(),
        operators=_endpoint(operators) if operators else None,
        keys=_keys(settings),
        store_url=settings.get('store_url'),
        store_region=settings.get('store_region', ''),
        seeds=_seeds(settings),
        log_level=settings.get('log_level', DEFAULT_LOG_LEVEL),
        stop_delay=settings.get('stop_delay_s', 0.0),
        document=settings.get('configuration'),
        servers=_servers(settings),
    )


def _endpoint(text: str) -> Endpoint:
    host, _, port = text.rpartition(':')
    return Endpoint(host, int(port))


def _keys(settings: GatewaySettings) -> CurveKeys | None:
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
