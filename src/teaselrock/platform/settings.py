"""Decodes the platform's settings file of a process.

`daemon.platform_gateway` reads it at the start and after changes.
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

from teaselrock.platform.values import MALFORMED
from teaselrock.platform.values import text

PATH_VARIABLE: Final = 'TEASELROCK_SETTINGS'
# The platform asks here whether an instance takes new connections.
READY_PATH: Final = '/ready'


class Address(NamedTuple):
    """A TCP address."""

    host: str
    port: int


class InstallationBounds(NamedTuple):
    """Bounds that the installation sets; times are in seconds.

    A cold server bears its rate times `cold_overshoot` plus `cold_slack`
    requests in one second. Extra attempts may be `retry_share` of the
    requests of `retry_window`, over all instances; the fixed part that the
    installation allows besides is not used.
    """

    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    retry_share: float = 0.1
    retry_window: float = 10.0
    stop_grace: float = 6.0


class ProcessSettings(NamedTuple):
    """Settings of one process on the platform."""

    instance_id: str
    region: str
    zone: str
    zone_regions: Mapping[str, str]
    callers: Address
    readiness: Address
    store: Address
    peer_host: str
    peer_ports: tuple[int, int]
    bounds: InstallationBounds


class SettingsError(NamedTuple):
    """Why settings cannot be used."""

    field: str
    reason: str


def settings_path() -> pathlib.Path:
    """Path of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, ''))


def load(path: pathlib.Path) -> Result[ProcessSettings, SettingsError]:
    """Read and decode a settings file."""
    try:
        document = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        return Error(SettingsError('', f'cannot read {path}: {error}'))
    return decode(document)


def decode(document: Any) -> Result[ProcessSettings, SettingsError]:
    """Decode settings; fields that are not known are ignored."""
    field = ''
    try:
        field = 'node_name'
        instance_id = text(document[field])
        field = 'zones'
        zone_regions = {
            text(zone): text(region)
            for zone, region in document[field].items()
        }
        field = 'zone'
        zone = text(document[field])
        field = 'region'
        region = text(document[field])
        field = 'listen.front'
        callers = _address(document['listen']['front'])
        field = 'listen.readiness_addr'
        readiness = _address(document['listen']['readiness_addr'])
        field = 'platform.address'
        store = _address(document['platform']['address'])
        field = 'ip'
        peer_host = text(document[field])
        field = 'port_range'
        first, last = document[field]
        peer_ports = (int(first), int(last))
        field = 'bounds'
        bounds = _bounds(document.get(field) or ())
    except MALFORMED as error:
        return Error(SettingsError(field, str(error) or 'missing'))
    return Ok(
        ProcessSettings(
            instance_id,
            region,
            zone,
            zone_regions,
            callers,
            readiness,
            store,
            peer_host,
            peer_ports,
            bounds,
        )
    )


def _address(value: Any) -> Address:
    host, colon, port = text(value).rpartition(':')
    if not colon or not host:
        raise ValueError('must be HOST:PORT')
    return Address(host, int(port))


def _bounds(texts: Any) -> InstallationBounds:
    """Bounds come as a list of texts `name=value`."""
    values: dict[str, float] = {}
    for bound in texts:
        name, _, value = str(bound).partition('=')
        try:
            values[name.strip()] = float(value)
        except ValueError:
            # Bounds may also be true or false; none of those is used.
            continue
    default = InstallationBounds()
    return InstallationBounds(
        cold_overshoot=values.get('cold_overshoot', default.cold_overshoot),
        cold_slack=values.get('cold_slack', default.cold_slack),
        retry_share=values.get('retry_budget_ratio', default.retry_share),
        retry_window=values.get('budget_window_s', default.retry_window),
        stop_grace=values.get('grace_s', default.stop_grace),
    )
