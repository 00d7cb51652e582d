"""Implementations of the interfaces in `admin`, which the commands use.

They adapt `coordination.configuration_admin` and
`coordination.report_reader` to them; `main` passes them to the commands.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import random
from typing import Final

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.cli.admin import CliImplementations
from teaselrock.cli.admin import CommandError
from teaselrock.cli.admin import CommandErrorKind
from teaselrock.cli.admin import OutOfServiceSection
from teaselrock.cli.admin import VersionSummary
from teaselrock.coordination import configuration_history as history
from teaselrock.coordination.configuration_admin import AcceptedChange
from teaselrock.coordination.configuration_admin import ConfigurationAdmin
from teaselrock.coordination.ports import Store
from teaselrock.coordination.report_reader import ReportReader
from teaselrock.protocol.checker import RuleViolation
from teaselrock.protocol.document_codec import JsonDocumentCodec
from teaselrock.state.configuration import Delta
from teaselrock.state.configuration import Document
from teaselrock.state.configuration import Edit
from teaselrock.state.configuration import validate_document

MAX_LISTED_VERSIONS: Final = 100
_MAX_SHOWN_EDITS: Final = 5
# `UNKNOWN` has the exit code of an unavailable store, since in both cases the
# operator has to read the versions before a retry.
_ERROR_KINDS: Final = {
    history.AdminErrorKind.INVALID: CommandErrorKind.REFUSED,
    history.AdminErrorKind.NOT_FOUND: CommandErrorKind.REFUSED,
    history.AdminErrorKind.CONFLICT: CommandErrorKind.CONFLICT,
    history.AdminErrorKind.UNKNOWN: CommandErrorKind.UNAVAILABLE,
    history.AdminErrorKind.UNAVAILABLE: CommandErrorKind.UNAVAILABLE,
}


def check_rules(document: Document) -> Sequence[RuleViolation]:
    """Violated rules of the whole document, with the paths of the checker."""
    return [
        RuleViolation(resolve_path(error.path, document), error.detail)
        for error in validate_document(document)
    ]


def resolve_path(path: str, document: object) -> tuple[str | int, ...]:
    """Split a dotted path into members; keys may contain dots themselves."""
    members: list[str | int] = []
    parts = path.split('.')
    value = document
    while parts:
        if isinstance(value, list) and parts[0].isdecimal():
            member: str | int = int(parts.pop(0))
            value = value[int(member)]
        else:
            length = _key_length(parts, value)
            member = '.'.join(parts[:length])
            del parts[:length]
            value = value.get(member) if isinstance(value, dict) else None
        members.append(member)
    return tuple(members)


def _key_length(parts: Sequence[str], value: object) -> int:
    """Number of parts that make up the key; 1 if `value` has no such key."""
    if isinstance(value, dict):
        for length in range(len(parts), 0, -1):
            if '.'.join(parts[:length]) in value:
                return length
    return 1


class StoreConfigurationCommands:
    """`ConfigurationCommands` on the configuration in a store."""

    def __init__(self, *, store: Store, rng: random.Random) -> None:
        self._admin = ConfigurationAdmin(
            store=store, codec=JsonDocumentCodec(), rng=rng
        )

    async def current(self) -> Result[tuple[int, Document], CommandError]:
        """Newest version and its document."""
        read = await self._admin.current()
        if read.is_error():
            return Error(_convert_error(read.error))
        return Ok((read.ok.version, read.ok.document))

    async def apply(
        self, *, document: Document, expected_version: int
    ) -> Result[int, CommandError]:
        """Replace version `expected_version`.

        On a conflict the error lists the versions accepted since then.
        """
        base = await self._admin.current()
        if base.is_error():
            return Error(_convert_error(base.error))
        if base.ok.version != expected_version:
            return Error(await self._conflict(expected_version))
        return _accepted_version(
            await self._admin.apply_document(base=base.ok, document=document)
        )

    async def versions(self) -> Result[Sequence[VersionSummary], CommandError]:
        """The newest versions, the newest last."""
        listed = await self._admin.versions(limit=MAX_LISTED_VERSIONS)
        if listed.is_error():
            return Error(_convert_error(listed.error))
        return Ok(
            [
                VersionSummary(delta.version, _summarize(delta))
                for delta in reversed(listed.ok)
            ]
        )

    async def document_at(
        self, *, version: int
    ) -> Result[Document, CommandError]:
        """The document of an accepted version."""
        read = await self._admin.document_at(version=version)
        if read.is_error():
            return Error(_convert_error(read.error))
        return Ok(read.ok)

    async def roll_forward(self, *, version: int) -> Result[int, CommandError]:
        """Accept an earlier version's document as a new version."""
        base = await self._admin.current()
        if base.is_error():
            return Error(_convert_error(base.error))
        return _accepted_version(
            await self._admin.roll_forward(base=base.ok, version=version)
        )

    async def set_out_of_service(
        self, *, section: OutOfServiceSection, name: str, reason: str | None
    ) -> Result[int, CommandError]:
        """Take an entry out of service, or back in if `reason` is None."""
        base = await self._admin.current()
        if base.is_error():
            return Error(_convert_error(base.error))
        value = None if reason is None else {'reason': reason}
        return _accepted_version(
            await self._admin.apply_edits(
                base=base.ok, edits=(Edit(section.value, name, value),)
            )
        )

    async def _conflict(self, expected_version: int) -> CommandError:
        listed = await self._admin.versions(limit=MAX_LISTED_VERSIONS)
        deltas = listed.ok if listed.is_ok() else ()
        return CommandError(
            CommandErrorKind.CONFLICT,
            f'version {expected_version} is not the newest',
            [
                f'version {delta.version}: {_summarize(delta)}'
                for delta in reversed(deltas)
                if delta.version > expected_version
            ],
        )


def _accepted_version(
    result: Result[AcceptedChange, history.AdminError],
) -> Result[int, CommandError]:
    if result.is_error():
        return Error(_convert_error(result.error))
    return Ok(result.ok.version)


def _convert_error(error: history.AdminError) -> CommandError:
    violations = [f'{rule.path}: {rule.detail}' for rule in error.errors]
    return CommandError(
        _ERROR_KINDS[error.kind],
        '; '.join((error.detail, *violations)),
        [
            f'version {delta.version}: {_summarize(delta)}'
            for delta in error.changes
        ],
    )


def _summarize(delta: Delta) -> str:
    if not delta.edits:
        return 'replaced as a whole document'
    shown = list(_describe_edits(delta.edits[:_MAX_SHOWN_EDITS]))
    hidden_count = len(delta.edits) - len(shown)
    if hidden_count:
        shown.append(f'{hidden_count} more')
    return ', '.join(shown)


def _describe_edits(edits: Sequence[Edit]) -> Iterator[str]:
    for edit in edits:
        text = f'{edit.section}.{edit.key}'
        if edit.value is None:
            yield f'{text} removed'
        elif isinstance(edit.value, dict) and 'reason' in edit.value:
            yield f'{text} ({edit.value["reason"]})'
        else:
            yield f'{text} set'


def _make_admin(store: Store) -> StoreConfigurationCommands:
    return StoreConfigurationCommands(store=store, rng=random.Random())


def _make_report_reader(store: Store) -> ReportReader:
    return ReportReader(store=store, codec=JsonDocumentCodec())


IMPLEMENTATIONS: Final = CliImplementations(
    admin=_make_admin, report=_make_report_reader, rules=check_rules
)
