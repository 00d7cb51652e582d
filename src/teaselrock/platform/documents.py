"""Decodes objects of the platform's store.

`store` reads them. An object that cannot be decoded gives None and names no
server, route or zone; the others hold.
"""

from collections.abc import Mapping
from typing import Any
from typing import Final

from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.platform.values import MALFORMED
from teaselrock.platform.values import text
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
    """The operators' desired state, under the one name that counts."""
    if name != 'main':
        return None
    try:
        routes = tuple(
            _route(text(host['host']), path)
            for host in spec['virtual_hosts']
            for path in host['paths']
        )
        services = {
            text(one['name']): ServiceProfile(
                name=one['name'],
                health_target=text(one.get('health_path') or '/health'),
                max_connections=int(one.get('max_conns') or 0),
                cold_rate=float(one.get('cold_per_s') or 0.0),
            )
            for one in spec['services']
        }
        return RoutingTable(
            # The version is a number in hexadecimal digits.
            int(text(spec['version']), 16),
            routes,
            services,
            _limits(spec.get('limits') or {}),
        )
    except MALFORMED:
        return None


def _route(host: str, path: Mapping[str, Any]) -> Route:
    split = path.get('traffic_split') or ()
    shares = tuple(
        ServiceShare(text(one['service']), float(one['weight']))
        for one in split
    )
    timeout = float(path['timeout_ms']) / 1000
    return Route(
        name=text(path['name']),
        host=host,
        prefix=text(path['path_prefix']),
        shares=shares or (ServiceShare(text(path['service']), 1.0),),
        is_idempotent=path['kind'] == _IDEMPOTENT,
        timeout=timeout,
        target_latency=float(
            path.get('target_latency_ms') or path['timeout_ms']
        )
        / 1000,
        priority=int(path.get('priority') or 0),
        max_attempts=max(1, int(path.get('max_attempts') or 1)),
        home_regions=frozenset(path.get('allowed_regions') or ()),
    )


def _limits(limits: Mapping[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_head_bytes=int(
            limits.get('max_header_bytes') or default.max_head_bytes
        ),
        max_body_bytes=int(
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
    """A backend server's own registration.

    Anyone may write to that kind, so each field is checked. `cold_left_ms`
    and `born` are left out: they are as old as the entry, and load checks on
    new connections tell of a restart and of a cold start afresh.
    """
    try:
        zone = text(spec['zone'])
        state = text(spec['state'])
        slots = spec['slots']
        address = text(spec['address'])
        _, colon, port = address.rpartition(':')
        is_valid = (
            state in _STATES
            and zone in zone_regions
            and isinstance(slots, int)
            and not isinstance(slots, bool)
            and slots > 0
            and bool(colon)
            and 0 < int(port) < 65536
        )
        if not is_valid:
            return None
        return BackendServer(
            server_id=name,
            service=text(spec['service']),
            zone=AvailabilityZone(zone_regions[zone], zone),
            address=address,
            concurrency=slots,
            leaving=state == 'draining',
        )
    except MALFORMED:
        return None


def decode_zone_out(name: str, spec: Any) -> str | None:
    """An evacuation: its name is that of the zone."""
    return name


def decode_instance(name: str, spec: Any) -> InstanceRegistration | None:
    """An instance's own registration, a kind of teaselrock's own."""
    try:
        return InstanceRegistration(
            name,
            text(spec['region']),
            text(spec['zone']),
            str(spec.get('address') or ''),
        )
    except MALFORMED:
        return None


def encode_instance(entry: InstanceRegistration) -> dict[str, str]:
    """Counterpart of `decode_instance`."""
    return {
        'region': entry.region,
        'zone': entry.zone,
        'address': entry.address,
    }
