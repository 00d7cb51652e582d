"""Settings of a gateway process, from JSON with comments.

Only what differs between instances or is needed before the configuration
is known; everything else is configuration. `options` gives them types.
"""

from collections.abc import Sequence
import pathlib
from typing import NotRequired
from typing import TypedDict

from expression import Error
from expression import Result

from teaselrock.protocol import checker
from teaselrock.protocol.checker import Diagnostic
from teaselrock.state.configuration import Document


class ServerSettings(TypedDict):
    """A backend server given in the settings instead of the list."""

    id: str
    service: str
    region: str
    zone: str
    address: str
    concurrency: int


class SeedSettings(TypedDict):
    """A peer to contact first."""

    instance: str
    region: str
    zone: str
    peer_address: str


class GatewaySettings(TypedDict):
    """Settings of one gateway; `schemas.SETTINGS` describes them."""

    instance: str
    region: str
    zone: str
    listen: str
    digest_key: str
    peer_listen: NotRequired[str]
    operators_listen: NotRequired[str]
    curve_public: NotRequired[str]
    curve_secret: NotRequired[str]
    store_url: NotRequired[str]
    store_region: NotRequired[str]
    seeds: NotRequired[list[SeedSettings]]
    log_level: NotRequired[str]
    stop_delay_s: NotRequired[float]
    configuration: NotRequired[Document]
    servers: NotRequired[list[ServerSettings]]


def load(
    path: pathlib.Path,
) -> Result[GatewaySettings, Sequence[Diagnostic]]:
    """Read and check a settings file."""
    try:
        text = path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Error((Diagnostic(0, '', f'cannot read the file: {error}'),))
    return checker.check_settings(text)
