"""JSON schemas of the operators' configuration and of gateway settings.

`checker` validates documents against them. `reference` generates the
operators' reference page from them, so the descriptions address operators.
"""

from collections.abc import Mapping
from typing import Any
from typing import Final

Schema = Mapping[str, Any]

DIALECT: Final = 'https://json-schema.org/draft/2020-12/schema'
MAX_DEADLINE_MS: Final = 3_600_000
MAX_STOP_DELAY_S: Final = 600
# A body of `max_body_bytes`, at most 64 MiB, has to fit into the part for
# large requests (`transport.request_memory`).
MIN_MEMORY_MB: Final = 200

_NAME: Final = {
    'type': 'string',
    'pattern': '^[a-z0-9][a-z0-9.-]{0,62}$',
}
_ADDRESS: Final = {
    'type': 'string',
    'pattern': '^[^\\s/:]+:[0-9]{1,5}$',
}
_Z85_KEY: Final = {'type': 'string', 'minLength': 40, 'maxLength': 40}


def _object(
    description: str,
    properties: Mapping[str, Schema],
    *,
    optional: tuple[str, ...] = (),
) -> Schema:
    return {
        'description': description,
        'type': 'object',
        'properties': properties,
        'required': [name for name in properties if name not in optional],
        'additionalProperties': False,
    }


def _map(description: str, key_meaning: str, values: Schema) -> Schema:
    return {
        'description': f'{description} Keys: {key_meaning}.',
        'type': 'object',
        'propertyNames': {'minLength': 1, 'maxLength': 127},
        'additionalProperties': values,
    }


def _with_description(schema: Schema, description: str) -> Schema:
    return {**schema, 'description': description}


def _name_list(description: str) -> Schema:
    return {
        'description': description,
        'type': 'array',
        'items': _NAME,
        'minItems': 1,
        'uniqueItems': True,
    }


def _integer(description: str, minimum: int, maximum: int) -> Schema:
    return {
        'description': description,
        'type': 'integer',
        'minimum': minimum,
        'maximum': maximum,
    }


_OUT_OF_SERVICE: Final = _object(
    'Why it is out of service.',
    {
        'reason': {
            'description': 'Reason, shown by `status` and `versions`.',
            'type': 'string',
            'minLength': 1,
            'maxLength': 200,
        }
    },
)
_CUSTOMER: Final = _object(
    'A customer.',
    {
        'plan': _with_description(_NAME, 'Name of the plan of the customer.'),
        'key_sha256': {
            'description': 'SHA-256 digests of the API keys, in hex.',
            'type': 'array',
            'items': {'type': 'string', 'pattern': '^[0-9a-f]{64}$'},
            'minItems': 1,
            'uniqueItems': True,
        },
        'home_regions': _name_list(
            'The only regions in which requests are served, sent and '
            'stored. Without it, any region of the plan.'
        ),
    },
    optional=('home_regions',),
)
_ALLOWANCE: Final = _object(
    'What a plan may use of one service.',
    {
        'service': _with_description(_NAME, 'Name of the service.'),
        'regions': _name_list('Regions in which the plan is served.'),
        'rate_per_second': {
            'description': 'Most units per second. Without it, no limit.',
            'type': 'number',
            'exclusiveMinimum': 0,
            'maximum': 1_000_000,
        },
        'units_per_window': _integer(
            'Most units per window. Without it, no limit.', 0, 10**12
        ),
        'window': {
            'description': 'Window of `units_per_window`, in UTC.',
            'enum': ['day', 'month'],
        },
    },
    optional=('rate_per_second', 'units_per_window', 'window'),
)
_PLAN: Final = _object(
    'A plan.',
    {
        'weight': _integer('Share in fair queues.', 1, 1000),
        'allow': {
            'description': 'The services that the plan includes.',
            'type': 'array',
            'items': {
                **_ALLOWANCE,
                'dependentRequired': {'units_per_window': ['window']},
            },
        },
    },
)
_SERVICE: Final = _object(
    'A service.',
    {
        'prefix': {
            'description': 'Start of the path of its requests.',
            'type': 'string',
            'pattern': '^(/[A-Za-z0-9._~-]+)+$',
        },
        'concurrency': _integer(
            'Concurrent requests that a warm backend server can handle.',
            1,
            10_000,
        ),
        'deadline_ms': _integer(
            'Longest time for a request, in milliseconds.',
            1,
            MAX_DEADLINE_MS,
        ),
        'non_idempotent_methods': {
            'description': 'Methods that need an idempotency key.',
            'type': 'array',
            'items': {'type': 'string', 'pattern': '^[A-Z]{1,20}$'},
            'uniqueItems': True,
        },
        'max_body_bytes': _integer(
            'Largest body of a request, in bytes. Default: 1048576.',
            0,
            64 * 1024 * 1024,
        ),
    },
    optional=('max_body_bytes',),
)

CONFIGURATION: Final[Schema] = {
    '$schema': DIALECT,
    **_object(
        "The operators' configuration.",
        {
            'customers': _map('Customers.', 'name', _CUSTOMER),
            'plans': _map('Plans.', 'name', _PLAN),
            'services': _map('Services.', 'name', _SERVICE),
            'out_zones': _map(
                'Availability zones out of service.',
                '`REGION/ZONE`',
                _OUT_OF_SERVICE,
            ),
            'out_instances': _map(
                'Gateway instances out of service.',
                'instance id',
                _OUT_OF_SERVICE,
            ),
            'out_servers': _map(
                'Backend servers out of service.', 'server id', _OUT_OF_SERVICE
            ),
        },
    ),
}

_SERVER: Final = _object(
    'A backend server that is known without the platform list.',
    {
        'id': _with_description(_NAME, 'Id of the server.'),
        'service': _with_description(_NAME, 'Name of its service.'),
        'region': _with_description(_NAME, 'Its region.'),
        'zone': _with_description(_NAME, 'Its availability zone.'),
        'address': _with_description(_ADDRESS, '`HOST:PORT`.'),
        'concurrency': _integer('Concurrent requests.', 1, 10_000),
    },
)
_SEED: Final = _object(
    'A peer to contact first.',
    {
        'instance': _with_description(_NAME, 'Its instance id.'),
        'region': _with_description(_NAME, 'Its region.'),
        'zone': _with_description(_NAME, 'Its availability zone.'),
        'peer_address': _with_description(
            _ADDRESS, '`HOST:PORT` of its peer port.'
        ),
    },
)

SETTINGS: Final[Schema] = {
    '$schema': DIALECT,
    **_object(
        'Settings of one gateway process.',
        {
            'instance': _with_description(
                _NAME, 'Id of the instance; unique.'
            ),
            'region': _with_description(_NAME, 'Region of the instance.'),
            'zone': _with_description(
                _NAME, 'Availability zone of the instance.'
            ),
            'listen': _with_description(_ADDRESS, '`HOST:PORT` for callers.'),
            'peer_listen': _with_description(
                _ADDRESS,
                '`HOST:PORT` for peers, reachable by them. Without it, the '
                'instance has no peers.',
            ),
            'operators_listen': _with_description(
                _ADDRESS, "`HOST:PORT` of the operators' endpoint."
            ),
            'curve_public': _with_description(
                _Z85_KEY, "The fleet's public CURVE key, in Z85."
            ),
            'curve_secret': _with_description(
                _Z85_KEY, "The fleet's secret CURVE key, in Z85."
            ),
            'digest_key': {
                'description': 'Key of the digests of idempotency keys; the '
                'same in the whole fleet.',
                'type': 'string',
                'minLength': 8,
            },
            'store_url': {
                'description': "URL of the platform's object store and list.",
                'type': 'string',
                'pattern': '^https?://[^\\s/]+',
            },
            'store_region': _with_description(_NAME, 'Region of the store.'),
            'seeds': {
                'description': 'Peers to contact first.',
                'type': 'array',
                'items': _SEED,
            },
            'log_level': {
                'description': 'Least level of logged events. Default: info.',
                'enum': ['debug', 'info', 'warning', 'error'],
            },
            'stop_delay_s': {
                'description': 'Seconds between becoming unready and closing '
                'the port at a stop, for the load balancer. Default: 0.',
                'type': 'number',
                'minimum': 0,
                'maximum': MAX_STOP_DELAY_S,
            },
            'memory_mb': _integer(
                'Memory that the process may use, in 1,000,000 bytes. Two '
                "fifths of it are for callers' requests, an eighth for "
                'responses that they have not read. Default: 200.',
                MIN_MEMORY_MB,
                1_000_000,
            ),
            'configuration': {
                **CONFIGURATION,
                'description': 'Fixed configuration, for an instance '
                'without a store.',
            },
            'servers': {
                'description': 'Fixed backend servers, for an instance '
                'without a platform list.',
                'type': 'array',
                'items': _SERVER,
            },
        },
        optional=(
            'peer_listen',
            'operators_listen',
            'curve_public',
            'curve_secret',
            'store_url',
            'store_region',
            'seeds',
            'log_level',
            'stop_delay_s',
            'memory_mb',
            'configuration',
            'servers',
        ),
    ),
    'dependentRequired': {
        'peer_listen': ['curve_public', 'curve_secret'],
        'store_url': ['store_region'],
        'seeds': ['peer_listen'],
    },
}
