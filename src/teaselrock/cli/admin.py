"""Interfaces to the configuration and the report that the commands use.

`services` implements them on the store. A command is offered only if
`CliImplementations` has the implementation that it needs.
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
from teaselrock.transport.store import StoreHttpClient

T = TypeVar('T')


class CommandErrorKind(enum.StrEnum):
    """Why an operation failed."""

    REFUSED = 'refused'
    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'


class CommandError(NamedTuple):
    """A failed operation.

    On a conflict, `changes` describes the versions that were accepted since
    the expected one.
    """

    kind: CommandErrorKind
    detail: str
    changes: Sequence[str] = ()


class VersionSummary(NamedTuple):
    """An accepted version and a text that describes its edits."""

    number: int
    summary: str


class OutOfServiceSection(enum.StrEnum):
    """Section of the configuration that lists what is out of service."""

    ZONES = 'out_zones'
    INSTANCES = 'out_instances'
    SERVERS = 'out_servers'


class ConfigurationCommands(Protocol):
    """Operations on the stored configuration."""

    async def current(self) -> Result[tuple[int, Document], CommandError]:
        """Newest version and its document; version 0 if there is none."""
        ...

    async def apply(
        self, *, document: Document, expected_version: int
    ) -> Result[int, CommandError]:
        """Replace version `expected_version`; returns the new version."""
        ...

    async def versions(self) -> Result[Sequence[VersionSummary], CommandError]:
        """Accepted versions, the newest last."""
        ...

    async def document_at(
        self, *, version: int
    ) -> Result[Document, CommandError]:
        """The document of an accepted version."""
        ...

    async def roll_forward(self, *, version: int) -> Result[int, CommandError]:
        """Accept an earlier version's document as a new version."""
        ...

    async def set_out_of_service(
        self, *, section: OutOfServiceSection, name: str, reason: str | None
    ) -> Result[int, CommandError]:
        """Take an entry out of service, or back in if `reason` is None."""
        ...


AdminFactory = Callable[[Store], ConfigurationCommands]


class ReportSource(Protocol):
    """Stored rows of the report, as streams.

    All methods raise `ReportReadError` if a segment cannot be read.
    """

    def rows(self, query: RowQuery) -> AsyncIterator[Row]:
        """Rows of requests, each once."""
        ...

    def accounting(self, query: RowQuery) -> AsyncIterator[AccountingRow]:
        """Accounting rows of customers with home regions, each once."""
        ...

    def segment_coverage(
        self, query: RowQuery
    ) -> AsyncIterator[SegmentCoverage]:
        """Coverage of each stored segment."""
        ...


ReportFactory = Callable[[Store], ReportSource]


class CliImplementations(NamedTuple):
    """Implementations behind the commands.

    `admin` and `report` are called with the store that a command names.
    `rules` checks the configuration beyond its schema.
    """

    admin: AdminFactory | None = None
    report: ReportFactory | None = None
    rules: checker.Rules = checker.no_rules


CommandFunction = Callable[[argparse.Namespace, CliImplementations], int]

_EXIT_CODES: Final = {
    CommandErrorKind.REFUSED: console.EXIT_FAILED,
    CommandErrorKind.CONFLICT: console.EXIT_CONFLICT,
    CommandErrorKind.UNAVAILABLE: console.EXIT_UNAVAILABLE,
}


def add_store_option(parser: argparse.ArgumentParser) -> None:
    """Add the option that names the store."""
    parser.add_argument(
        '--store',
        metavar='URL',
        required=True,
        help="URL of the platform's object store",
    )


def call_with_store(url: str, operation: Callable[[Store], Awaitable[T]]) -> T:
    """Run an operation with a client of the store."""

    async def run() -> T:
        client = StoreHttpClient(url=url)
        try:
            return await operation(HttpStore(client=client))
        finally:
            client.close()

    return asyncio.run(run())


def call_with_admin(
    options: argparse.Namespace,
    implementations: CliImplementations,
    operation: Callable[[ConfigurationCommands], Awaitable[T]],
) -> T:
    """Run an operation on the configuration in the store of `options`."""
    factory = implementations.admin
    if factory is None:
        raise RuntimeError('the command needs CliImplementations.admin')
    return call_with_store(
        options.store, lambda store: operation(factory(store))
    )


def print_error(error: CommandError) -> int:
    """Print an error and return its exit code."""
    console.print_message(f'{error.kind}: {error.detail}')
    for change in error.changes:
        console.print_message(f'changed meanwhile: {change}')
    return _EXIT_CODES[error.kind]


def print_outcome(result: Result[int, CommandError]) -> int:
    """Print the outcome of a change and return the exit code."""
    if result.is_error():
        return print_error(result.error)
    console.print_result(f'accepted as version {result.ok}')
    return console.EXIT_OK
