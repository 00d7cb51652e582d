"""What the commands need from the configuration's administration.

`coordination` implements `ConfigurationAdmin` on the store; the commands
are offered only where `CliServices` has an implementation.
"""

import argparse
import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import enum
from typing import Final
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

from expression import Result

from teaselrock.cli import console
from teaselrock.coordination.ports import Store
from teaselrock.coordination.report_reader import RowQuery
from teaselrock.protocol import checker
from teaselrock.state.configuration import Document
from teaselrock.state.report import AccountingRow
from teaselrock.state.report import Row
from teaselrock.state.report import SegmentCoverage
from teaselrock.transport.store import HttpStore
from teaselrock.transport.store import PlatformHttpClient

T = TypeVar('T')


class AdminErrorKind(enum.StrEnum):
    """Why a change was not made."""

    REFUSED = 'refused'
    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'


class AdminError(NamedTuple):
    """A failed operation; `changes` are edits made meanwhile, as text."""

    kind: AdminErrorKind
    detail: str
    changes: Sequence[str] = ()


class VersionSummary(NamedTuple):
    """An accepted version of the configuration."""

    number: int
    summary: str


class OutOfServiceSection(enum.StrEnum):
    """Section of the configuration that takes something out of service."""

    ZONES = 'out_zones'
    INSTANCES = 'out_instances'
    SERVERS = 'out_servers'


class ConfigurationAdmin(Protocol):
    """Operations on the stored configuration."""

    async def current(self) -> Result[tuple[int, Document], AdminError]:
        """Newest version and its document; version 0 if there is none."""
        ...

    async def apply(
        self, *, document: Document, expected_version: int
    ) -> Result[int, AdminError]:
        """Replace version `expected_version`; returns the new version."""
        ...

    async def versions(self) -> Result[Sequence[VersionSummary], AdminError]:
        """Accepted versions, the newest last."""
        ...

    async def document_at(
        self, *, version: int
    ) -> Result[Document, AdminError]:
        """The document of an accepted version."""
        ...

    async def roll_forward(self, *, version: int) -> Result[int, AdminError]:
        """Accept an earlier version's document as a new version."""
        ...

    async def set_out_of_service(
        self, *, section: OutOfServiceSection, name: str, reason: str | None
    ) -> Result[int, AdminError]:
        """Take out of service, or with None back in."""
        ...


AdminFactory = Callable[[Store], ConfigurationAdmin]


class ReportSource(Protocol):
    """Stored rows of the report, as streams.

    Each raises `ReportReadError` rather than leave something out.
    """

    def rows(self, query: RowQuery) -> AsyncIterator[Row]:
        """Rows of requests, each once."""
        ...

    def accounting(self, query: RowQuery) -> AsyncIterator[AccountingRow]:
        """Accounting rows of customers with home regions, each once."""
        ...

    def covers(self, query: RowQuery) -> AsyncIterator[SegmentCoverage]:
        """What the stored segments cover."""
        ...


ReportFactory = Callable[[Store], ReportSource]


class CliServices(NamedTuple):
    """Implementations behind the commands.

    `admin` and `report` are made for the store that a command names.
    """

    admin: AdminFactory | None = None
    report: ReportFactory | None = None
    rules: checker.Rules = checker.no_rules


CommandFunction = Callable[[argparse.Namespace, CliServices], int]

_EXITS: Final = {
    AdminErrorKind.REFUSED: console.EXIT_REFUSED,
    AdminErrorKind.CONFLICT: console.EXIT_CONFLICT,
    AdminErrorKind.UNAVAILABLE: console.EXIT_UNAVAILABLE,
}


def add_store(parser: argparse.ArgumentParser) -> None:
    """Add the option that names the store."""
    parser.add_argument(
        '--store',
        metavar='URL',
        required=True,
        help="URL of the platform's object store",
    )


def with_store(url: str, call: Callable[[Store], Awaitable[T]]) -> T:
    """Run a call with a client of the store."""

    async def run() -> T:
        platform = PlatformHttpClient(url=url)
        try:
            return await call(HttpStore(platform=platform))
        finally:
            platform.close()

    return asyncio.run(run())


def with_admin(
    options: argparse.Namespace,
    services: CliServices,
    call: Callable[[ConfigurationAdmin], Awaitable[T]],
) -> T:
    """Run a call with the administration of the named store."""
    factory = services.admin
    if factory is None:
        raise RuntimeError('the command was added without its service')
    return with_store(options.store, lambda store: call(factory(store)))


def fail(error: AdminError) -> int:
    """Print an error; returns its exit code."""
    console.print_message(f'{error.kind}: {error.detail}')
    for change in error.changes:
        console.print_message(f'changed meanwhile: {change}')
    return _EXITS[error.kind]


def finish(result: Result[int, AdminError]) -> int:
    """Print the outcome of a change."""
    if result.is_error():
        return fail(result.error)
    console.print_result(f'accepted as version {result.ok}')
    return console.EXIT_OK
