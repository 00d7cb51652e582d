"""Models of the two deployments of docs/design.md 1.2."""

from collections.abc import Mapping
import random
from typing import Final
from typing import NamedTuple

from teaselrock.coordination.instance import SlotSourceFactory
from teaselrock.standins.behaviour import NoisyNeighbour
from teaselrock.standins.behaviour import ServiceTimes
from teaselrock.standins.fleet import FleetPlan
from teaselrock.standins.network import Latencies
from teaselrock.standins.server import Overload
from teaselrock.standins.server import ServerModel
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import Instance
from teaselrock.state.configuration import CustomerEntry
from teaselrock.state.configuration import Document

REGIONS: Final = ('east', 'north', 'west')
ZONES: Final = tuple(
    AvailabilityZone(region, name) for region in REGIONS for name in 'ab'
)
GATEWAY_COUNT: Final = 15
CALLER_LATENCY_S: Final = 0.003
SERVICE_TIME_SIGMA: Final = 0.5
DEADLINE_MS: Final = 2000
# Limits of the plans of METERED_CUSTOMERS, low enough to be reached.
AMOUNT_UNITS: Final = 40
RATE_PER_SECOND: Final = 5.0


class Kind(NamedTuple):
    """A kind of request.

    `share` is its share of the service's calls, `mean_s` its mean service
    time.
    """

    name: str
    method: str
    share: float
    mean_s: float


class Service(NamedTuple):
    """A service with its number of servers and its kinds of requests."""

    name: str
    servers: int
    kinds: tuple[Kind, ...]

    @property
    def mean_s(self) -> float:
        """Mean service time over its kinds, in seconds."""
        return sum(kind.share * kind.mean_s for kind in self.kinds)


class Deployment(NamedTuple):
    """Services and latencies; `concurrency` is that of each server."""

    name: str
    services: tuple[Service, ...]
    concurrency: int
    latencies: Latencies

    def capacity(self, service: Service) -> float:
        """Calls per second that all servers of a service can handle."""
        return service.servers * self.concurrency / service.mean_s


LIFFEYLINE: Final = Deployment(
    'liffeyline',
    (
        Service(
            'compile',
            15,
            (
                Kind('status', 'GET', 0.95, 0.020),
                Kind('build', 'POST', 0.05, 0.200),
            ),
        ),
        Service(
            'catalogue',
            12,
            (
                Kind('term', 'GET', 0.8, 0.030),
                Kind('archive', 'GET', 0.2, 0.060),
            ),
        ),
    ),
    6,
    Latencies(cross_zone_s=0.0005),
)
HOLLIS: Final = Deployment(
    'hollis',
    (
        Service(
            'jobs',
            13,
            (
                Kind('repair', 'GET', 0.8, 0.020),
                Kind('deposit', 'POST', 0.1, 0.050),
                Kind('order', 'POST', 0.1, 0.060),
            ),
        ),
        Service('parts', 12, (Kind('urgent', 'GET', 1.0, 0.020),)),
    ),
    3,
    Latencies(cross_zone_s=0.0015),
)
DEPLOYMENTS: Final[Mapping[str, Deployment]] = {
    'liffeyline': LIFFEYLINE,
    'hollis': HOLLIS,
}
HOME_REGIONS: Final[Mapping[str, tuple[str, ...]]] = {
    'homed-east': ('east',),
    'homed-north': ('north', 'west'),
}
# Customers without home regions are served by any instance.
OPEN_CUSTOMERS: Final = ('open-1', 'open-2')
CUSTOMERS: Final = (*OPEN_CUSTOMERS, *HOME_REGIONS)
METERED_CUSTOMERS: Final = ('amount', 'rate')


def document(deployment: Deployment) -> Document:
    """The configuration of a deployment."""
    customers: dict[str, CustomerEntry] = {
        name: {'plan': 'open', 'key_sha256': []}
        for name in CUSTOMERS
        if name not in HOME_REGIONS
    }
    for name, home_regions in HOME_REGIONS.items():
        customers[name] = {
            'plan': 'open',
            'key_sha256': [],
            'home_regions': list(home_regions),
        }
    for name in METERED_CUSTOMERS:
        customers[name] = {'plan': name, 'key_sha256': []}
    names = [service.name for service in deployment.services]
    regions = list(REGIONS)
    return {
        'customers': customers,
        'plans': {
            'open': {
                'weight': 1,
                'allow': [
                    {'service': name, 'regions': regions} for name in names
                ],
            },
            'amount': {
                'weight': 1,
                'allow': [
                    {
                        'service': name,
                        'regions': regions,
                        'units_per_window': AMOUNT_UNITS,
                        'window': 'day',
                    }
                    for name in names
                ],
            },
            'rate': {
                'weight': 1,
                'allow': [
                    {
                        'service': name,
                        'regions': regions,
                        'rate_per_second': RATE_PER_SECOND,
                    }
                    for name in names
                ],
            },
        },
        'services': {
            service.name: {
                'prefix': f'/{service.name}',
                'concurrency': deployment.concurrency,
                'deadline_ms': DEADLINE_MS,
                'non_idempotent_methods': ['POST'],
            }
            for service in deployment.services
        },
        'out_zones': {},
        'out_instances': {},
        'out_servers': {},
    }


def make_fleet_plan(
    *,
    deployment: Deployment,
    rng: random.Random,
    slot_source_factory: SlotSourceFactory | None = None,
    is_noisy: bool = False,
    is_unshared: bool = False,
) -> FleetPlan:
    """Instances, servers and their models, spread over all zones."""
    servers = tuple(
        BackendServer(
            f'{service.name}-{number}',
            service.name,
            ZONES[number % len(ZONES)],
            f'{service.name}-{number}:1',
            deployment.concurrency,
        )
        for service in deployment.services
        for number in range(service.servers)
    )
    means = {
        kind.name: kind.mean_s
        for service in deployment.services
        for kind in service.kinds
    }
    models = {
        server.server_id: ServerModel(
            server_id=server.server_id,
            start_id=f'start-{server.server_id}',
            concurrency=server.concurrency,
            zone=server.zone,
            overload=Overload.QUEUE,
            rng=rng,
            times=ServiceTimes(rng=rng, means=means, sigma=SERVICE_TIME_SIGMA),
            noise=NoisyNeighbour(rng=rng) if is_noisy else None,
        )
        for server in servers
    }
    instances = tuple(
        Instance(f'gw-{number}', ZONES[number % len(ZONES)], f'gw-{number}')
        for number in range(GATEWAY_COUNT)
    )
    return FleetPlan(
        instances=instances,
        servers=servers,
        models=models,
        document=document(deployment),
        store_zone=ZONES[0],
        latencies=deployment.latencies,
        slot_source_factory=slot_source_factory,
        is_unshared=is_unshared,
    )
