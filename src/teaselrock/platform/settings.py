"""Decodes the settings file of a process on the platform.

`daemon.platform_gateway` reads it at startup and after changes.
"""

from collections.abc import Mapping
import os
import pathlib
from typing import Any
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from teaselrock.platform.values import MALFORMED_ERRORS
from teaselrock.platform.values import non_empty_text
from teaselrock.protocol.decode_errors import DECODE_ERRORS

PATH_VARIABLE: Final = 'TEASELROCK_SETTINGS'
# Path of the platform's readiness check of an instance.
READY_PATH: Final = '/ready'


class Address(NamedTuple):
    """A TCP address."""

    host: str
    port: int


class PlatformLimits(NamedTuple):
    """Limits in the settings of the platform; times are in seconds.

    Extra attempts of all instances may be up to `retry_share` of the requests
    of the last `retry_window_s`. The settings also allow a fixed number of
    extra attempts, which is not used. `memory_bytes` is the memory of the
    machine and `max_descriptors` the number of descriptors that a process may
    open, None if they are not stated. `link_mbps` is the speed of the
    machine's link in Mbit/s, 0 if it is not stated.
    """

    retry_share: float = 0.1
    retry_window_s: float = 10.0
    stop_grace_s: float = 6.0
    memory_bytes: int | None = None
    max_descriptors: int | None = None
    link_mbps: float = 0.0


class ProcessSettings(NamedTuple):
    """Settings of one process on the platform.

    `operators_address` is that of the operators' pages and the readiness
    check; `peer_ports` are the first and the last port for peers.
    `is_first_start` is True only when the whole system starts for the first
    time.
    """

    instance_id: str
    region: str
    zone: str
    zone_regions: Mapping[str, str]
    caller_address: Address
    operators_address: Address
    store_address: Address
    peer_host: str
    peer_ports: tuple[int, int]
    limits: PlatformLimits
    is_first_start: bool


class SettingsError(NamedTuple):
    """Why settings are rejected; `field` is empty for the whole file."""

    field: str
    reason: str


def settings_path() -> pathlib.Path:
    """Path of the settings file, from the environment."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, ''))


def load(path: pathlib.Path) -> Result[ProcessSettings, SettingsError]:
    """Read and decode a settings file."""
    try:
        document = msgspec.json.decode(path.read_bytes())
    except (OSError, *DECODE_ERRORS) as error:
        return Error(SettingsError('', f'cannot read {path}: {error}'))
    return decode(document)


def decode(document: Any) -> Result[ProcessSettings, SettingsError]:
    """Decode settings; unknown fields are ignored."""
    field = ''
    try:
        field = 'node_name'
        instance_id = non_empty_text(document[field])
        field = 'zones'
        zone_regions = {
            non_empty_text(zone): non_empty_text(region)
            for zone, region in document[field].items()
        }
        field = 'zone'
        zone = non_empty_text(document[field])
        field = 'region'
        region = non_empty_text(document[field])
        field = 'listen.front'
        caller_address = _address(document['listen']['front'])
        field = 'listen.readiness_addr'
        operators_address = _address(document['listen']['readiness_addr'])
        field = 'platform.address'
        store_address = _address(document['platform']['address'])
        field = 'ip'
        peer_host = non_empty_text(document[field])
        field = 'port_range'
        first, last = document[field]
        peer_ports = (int(first), int(last))
        field = 'bounds'
        limits = _limits(document.get(field) or ())
        field = 'limits.memory_mb'
        limits = limits._replace(memory_bytes=_memory_bytes(document))
        field = 'limits.max_fds'
        limits = limits._replace(max_descriptors=_max_descriptors(document))
        field = 'limits.link_mbps'
        limits = limits._replace(link_mbps=_link_mbps(document))
    except MALFORMED_ERRORS as error:
        return Error(SettingsError(field, str(error) or 'missing'))
    return Ok(
        ProcessSettings(
            instance_id,
            region,
            zone,
            zone_regions,
            caller_address,
            operators_address,
            store_address,
            peer_host,
            peer_ports,
            limits,
            document.get('bootstrap') is True,
        )
    )


def _address(value: Any) -> Address:
    host, colon, port = non_empty_text(value).rpartition(':')
    if not colon or not host:
        raise ValueError('must be HOST:PORT')
    return Address(host, int(port))


def _memory_bytes(document: Any) -> int | None:
    megabytes = (document.get('limits') or {}).get('memory_mb')
    if megabytes is None:
        return None
    if float(megabytes) <= 0:
        raise ValueError('must be positive')
    return int(float(megabytes) * 1_000_000)


def _max_descriptors(document: Any) -> int | None:
    count = (document.get('limits') or {}).get('max_fds')
    if count is None:
        return None
    if int(count) <= 0:
        raise ValueError('must be positive')
    return int(count)


def _link_mbps(document: Any) -> float:
    speed = float((document.get('limits') or {}).get('link_mbps') or 0.0)
    if speed < 0:
        raise ValueError('must not be negative')
    return speed


def _limits(assignments: Any) -> PlatformLimits:
    """Decode the limits, a list of strings `name=value`."""
    values: dict[str, float] = {}
    for assignment in assignments:
        name, _, value = str(assignment).partition('=')
        try:
            values[name.strip()] = float(value)
        except ValueError:
            # Values that are not numbers, such as booleans, are not used.
            continue
    default = PlatformLimits()
    return PlatformLimits(
        retry_share=values.get('retry_budget_ratio', default.retry_share),
        retry_window_s=values.get('budget_window_s', default.retry_window_s),
        stop_grace_s=values.get('grace_s', default.stop_grace_s),
    )
