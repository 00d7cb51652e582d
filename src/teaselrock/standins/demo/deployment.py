"""Settings of the demo's processes: three regions with two zones each."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools
import socket
from typing import Any
from typing import Final
from typing import NamedTuple

import zmq

from teaselrock.standins.load import Flow
from teaselrock.standins.load import GatewayAddress

REGIONS: Final = ('east', 'north', 'west')
ZONES: Final = ('a', 'b')
SERVICES: Final = ('catalogue', 'compile-desk')
STORE_REGION: Final = 'east'
HOST: Final = '127.0.0.1'
CONCURRENCY: Final = 6
STOP_DELAY_S: Final = 1.0
SEED: Final = 7
# Rates stay below those of the plans in examples/liffeyline.json.
FLOWS: Final[tuple[Flow, ...]] = (
    {
        'customer': 'shannon-press',
        'key': 'shannon-press-key',
        'service': 'compile-desk',
        'method': 'POST',
        'path': '/compile-desk/build',
        'rate': 8.0,
        'regions': list(REGIONS),
    },
    {
        'customer': 'shannon-press',
        'key': 'shannon-press-key',
        'service': 'catalogue',
        'method': 'GET',
        'path': '/catalogue/term',
        'rate': 30.0,
        'regions': list(REGIONS),
    },
    {
        'customer': 'liffey-news',
        'key': 'liffey-news-key',
        'service': 'catalogue',
        'method': 'GET',
        'path': '/catalogue/archive',
        'rate': 20.0,
        'regions': list(REGIONS),
    },
    {
        'customer': 'corrib-books',
        'key': 'corrib-books-key',
        'service': 'compile-desk',
        'method': 'POST',
        'path': '/compile-desk/build',
        'rate': 2.0,
        'regions': ['west'],
    },
)
HOME_REGION_CUSTOMERS: Final = frozenset({'corrib-books'})
MEAN_SERVICE_TIMES_S: Final = {'build': 0.15, 'term': 0.005, 'archive': 0.02}


class Deployment(NamedTuple):
    """Settings documents of all processes; `store` is the store's URL."""

    store: str
    standins: dict[str, Any]
    gateways: list[dict[str, Any]]
    load: dict[str, Any]


@contextlib.contextmanager
def ports(*, base: int | None) -> Iterator[Iterator[int]]:
    """Yield ports from `base` on, or free ports if `base` is None.

    Free ports stay bound until the context ends, so that none is found twice.
    """
    if base is not None:
        yield itertools.count(base)
        return
    with contextlib.ExitStack() as held:

        def find() -> int:
            probe = held.enter_context(socket.socket())
            probe.bind((HOST, 0))
            return int(probe.getsockname()[1])

        yield iter(find, 0)


def make_deployment(
    *, next_address: Callable[[], str], seconds: float
) -> Deployment:
    """Make all settings, with addresses from `next_address`."""
    public, secret = (key.decode() for key in zmq.curve_keypair())
    store = next_address()
    places = [(region, zone) for region in REGIONS for zone in ZONES]
    gateways = [
        {
            'instance': f'gw-{region}-{zone}',
            'region': region,
            'zone': zone,
            'listen': next_address(),
            'peer_listen': next_address(),
            'operators_listen': next_address(),
            'curve_public': public,
            'curve_secret': secret,
            'digest_key': 'key of the demo',
            'store_url': f'http://{store}',
            'store_region': STORE_REGION,
            'stop_delay_s': STOP_DELAY_S,
        }
        for region, zone in places
    ]
    servers = [
        {
            'id': f'{service}-{region}-{zone}',
            'service': service,
            'region': region,
            'zone': zone,
            'address': next_address(),
            'concurrency': CONCURRENCY,
        }
        for region, zone in places
        for service in SERVICES
    ]
    standins = {
        'listen': store,
        'gateways': [gateway['instance'] for gateway in gateways],
        'servers': servers,
        'means': MEAN_SERVICE_TIMES_S,
        'sigma': 0.3,
        'seed': SEED,
    }
    addresses: list[GatewayAddress] = [
        {
            'id': str(gateway['instance']),
            'listen': str(gateway['listen']),
            'operators': str(gateway['operators_listen']),
            'region': str(gateway['region']),
        }
        for gateway in gateways
    ]
    load = {
        'gateways': addresses,
        'flows': FLOWS,
        'seconds': seconds,
        'seed': SEED,
    }
    return Deployment(f'http://{store}', standins, gateways, load)
