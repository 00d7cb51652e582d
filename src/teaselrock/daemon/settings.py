"""Settings of a gateway process, from JSON with comments.

Settings hold only what differs between instances or is needed before the
configuration is known. `options` converts them to typed values.
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
    """A backend server of a standalone instance.

    Other instances read their servers from the platform list.
    """

    id: str
    service: str
    region: str
    zone: str
    address: str
    concurrency: int


class SeedSettings(TypedDict):
    """A peer that the instance contacts first to join the others."""

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
    memory_mb: NotRequired[int]
    configuration: NotRequired[Document]
    servers: NotRequired[list[ServerSettings]]


def load(
    path: pathlib.Path,
) -> Result[GatewaySettings, Sequence[Diagnostic]]:
    """Read a settings file and check it against the schema."""
    try:
        text = path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Error((Diagnostic(0, '', f'cannot read the file: {error}'),))
    return checker.check_settings(text)
