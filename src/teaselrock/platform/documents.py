"""Decodes the stored objects of the platform, for `daemon.platform_gateway`.

`store` reads them. An object that cannot be decoded gives None; the other
objects of its kind stay in use.
"""

from collections.abc import Mapping
import math
from typing import Any
from typing import Final

from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.platform.values import header_name
from teaselrock.platform.values import ip_address
from teaselrock.platform.values import MALFORMED_ERRORS
from teaselrock.platform.values import non_empty_text
from teaselrock.platform.values import whole_number
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state.routes import CallerLimits
from teaselrock.state.routes import Route
from teaselrock.state.routes import RoutingTable
from teaselrock.state.routes import ServiceProfile
from teaselrock.state.routes import ServiceShare

_IDEMPOTENT: Final = 'idempotent'
_STATES: Final = frozenset({'ready', 'draining'})


def decode_table(name: str, spec: Any) -> RoutingTable | None:
    """Decode the routing table; None unless the object is named `main`."""
    if name != 'main':
        return None
    try:
        routes = tuple(
            _route(non_empty_text(host['host']), path)
            for host in spec['virtual_hosts']
            for path in host['paths']
        )
        services = {
            non_empty_text(item['name']): ServiceProfile(
                name=item['name'],
                health_target=non_empty_text(
                    item.get('health_path') or '/health'
                ),
                max_connections=whole_number(item.get('max_conns') or 0),
                cold_rate=float(item.get('cold_per_s') or 0.0),
            )
            for item in spec['services']
        }
        return RoutingTable(
            _version(spec['version']),
            routes,
            services,
            _limits(spec.get('limits') or {}),
        )
    except MALFORMED_ERRORS:
        return None


def _version(value: Any) -> int:
    """Decode a version, which is a hexadecimal number."""
    return whole_number(int(non_empty_text(value), 16))


def _route(host: str, path: Mapping[str, Any]) -> Route:
    split = path.get('traffic_split') or ()
    shares = tuple(
        ServiceShare(non_empty_text(item['service']), float(item['weight']))
        for item in split
    )
    timeout = float(path['timeout_ms']) / 1000
    return Route(
        name=non_empty_text(path['name']),
        host=host,
        prefix=non_empty_text(path['path_prefix']),
        shares=shares or (ServiceShare(non_empty_text(path['service']), 1.0),),
        is_idempotent=path['kind'] == _IDEMPOTENT,
        timeout=timeout,
        target_latency=float(
            path.get('target_latency_ms') or path['timeout_ms']
        )
        / 1000,
        priority=whole_number(path.get('priority') or 0),
        max_attempts=whole_number(path.get('max_attempts') or 1, minimum=1),
        home_regions=frozenset(path.get('allowed_regions') or ()),
    )


def _limits(limits: Mapping[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_head_bytes=whole_number(
            limits.get('max_header_bytes') or default.max_head_bytes
        ),
        max_body_bytes=whole_number(
            limits.get('max_body_bytes') or default.max_body_bytes
        ),
        head_timeout=float(
            limits.get('header_timeout_ms') or default.head_timeout * 1000
        )
        / 1000,
        idle_timeout=float(
            limits.get('idle_timeout_ms') or default.idle_timeout * 1000
        )
        / 1000,
    )


def decode_server(
    name: str, spec: Any, zone_regions: Mapping[str, str]
) -> BackendServer | None:
    """Decode the registration that a backend server writes for itself.

    Any client may write such objects, so each field is checked.
    `cold_left_ms` is ignored: it is only as recent as the entry, and load
    checks report cold starts.
    """
    try:
        zone = non_empty_text(spec['zone'])
        state = non_empty_text(spec['state'])
        if state not in _STATES:
            return None
        return BackendServer(
            server_id=header_name(name),
            service=non_empty_text(spec['service']),
            zone=AvailabilityZone(zone_regions[zone], zone),
            address=ip_address(spec['address']),
            concurrency=whole_number(spec['slots'], minimum=1),
            is_draining=state == 'draining',
            # Start of the server's process, in Unix milliseconds.
            started_at=whole_number(spec.get('born', 0)),
        )
    except MALFORMED_ERRORS:
        return None


def decode_zone_out(name: str, spec: Any) -> str | None:
    """Decode an evacuation; the object is named after the zone."""
    return name


def decode_instance(name: str, spec: Any) -> InstanceRegistration | None:
    """Decode the registration that an instance writes for itself.

    The platform does not define this kind of object; teaselrock does.
    """
    try:
        return InstanceRegistration(
            non_empty_text(name),
            non_empty_text(spec['region']),
            non_empty_text(spec['zone']),
            ip_address(spec['address']),
            _speed(spec.get('link_mbps')),
            whole_number(spec.get('relay_protocol') or 0),
        )
    except MALFORMED_ERRORS:
        return None


def _speed(value: Any) -> float:
    """A speed in Mbit/s; 0 if it is unknown or not a positive number."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return float(value) if is_number and 0 < value < math.inf else 0.0


def encode_instance(
    registration: InstanceRegistration,
) -> dict[str, str | float]:
    """Encode an instance's registration; reverses `decode_instance`."""
    return {
        'region': registration.region,
        'zone': registration.zone,
        'address': registration.address,
        'link_mbps': registration.link_mbps,
        'relay_protocol': registration.relay_protocol,
    }
