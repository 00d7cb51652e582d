"""The real services behind the commands.

Adapts `coordination.configuration_admin` and `coordination.report_reader`
to the ports in `admin`; `main` hands them to the commands.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import random
from typing import Final

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.cli.admin import AdminError
from teaselrock.cli.admin import AdminErrorKind
from teaselrock.cli.admin import CliServices
from teaselrock.cli.admin import OutOfServiceSection
from teaselrock.cli.admin import VersionSummary
from teaselrock.coordination import configuration_history as history
from teaselrock.coordination.configuration_admin import AcceptedChange
from teaselrock.coordination.configuration_admin import ConfigurationAdmin
from teaselrock.coordination.ports import Store
from teaselrock.coordination.report_reader import ReportReader
from teaselrock.protocol.checker import RuleViolation
from teaselrock.protocol.documents import JsonDocumentCodec
from teaselrock.state.configuration import Delta
from teaselrock.state.configuration import Document
from teaselrock.state.configuration import Edit
from teaselrock.state.configuration import validate_document

LISTED_VERSIONS: Final = 100
_SHOWN_EDITS: Final = 5
# UNKNOWN ends with the code of an unavailable store, since the operator
# has to read the versions before a repeat in both cases.
_KINDS: Final = {
    history.AdminErrorKind.INVALID: AdminErrorKind.REFUSED,
    history.AdminErrorKind.NOT_FOUND: AdminErrorKind.REFUSED,
    history.AdminErrorKind.CONFLICT: AdminErrorKind.CONFLICT,
    history.AdminErrorKind.UNKNOWN: AdminErrorKind.UNAVAILABLE,
    history.AdminErrorKind.UNAVAILABLE: AdminErrorKind.UNAVAILABLE,
}


def rules(document: Document) -> Sequence[RuleViolation]:
    """Rules over the whole document, with paths as the checker has them."""
    return [
        RuleViolation(resolve_path(error.path, document), error.detail)
        for error in validate_document(document)
    ]


def resolve_path(path: str, document: object) -> tuple[str | int, ...]:
    """Steps of a dotted path; keys of the document may contain dots."""
    steps: list[str | int] = []
    parts = path.split('.')
    held = document
    while parts:
        if isinstance(held, list) and parts[0].isdecimal():
            step: str | int = int(parts.pop(0))
            held = held[int(step)]
        else:
            length = _key_length(parts, held)
            step = '.'.join(parts[:length])
            del parts[:length]
            held = held.get(step) if isinstance(held, dict) else None
        steps.append(step)
    return tuple(steps)


def _key_length(parts: Sequence[str], held: object) -> int:
    """How many parts make the key; 1 if no key of `held` fits."""
    if isinstance(held, dict):
        for length in range(len(parts), 0, -1):
            if '.'.join(parts[:length]) in held:
                return length
    return 1


class StoreConfigurationAdmin:
    """The administration of the stored configuration, for the commands."""

    def __init__(self, *, store: Store, rng: random.Random) -> None:
        self._admin = ConfigurationAdmin(
            store=store, codec=JsonDocumentCodec(), rng=rng
        )

    async def current(self) -> Result[tuple[int, Document], AdminError]:
        """Newest version and its document."""
        read = await self._admin.current()
        if read.is_error():
            return Error(_error(read.error))
        return Ok((read.ok.version, read.ok.document))

    async def apply(
        self, *, document: Document, expected_version: int
    ) -> Result[int, AdminError]:
        """Replace version `expected_version`.

        On a conflict the error lists the versions accepted since then.
        """
        base = await self._admin.current()
        if base.is_error():
            return Error(_error(base.error))
        if base.ok.version != expected_version:
            return Error(await self._conflict(expected_version))
        return _accepted(
            await self._admin.apply_document(base=base.ok, document=document)
        )

    async def versions(self) -> Result[Sequence[VersionSummary], AdminError]:
        """The newest versions, the newest last."""
        listed = await self._admin.versions(limit=LISTED_VERSIONS)
        if listed.is_error():
            return Error(_error(listed.error))
        return Ok(
            [
                VersionSummary(delta.version, _summary(delta))
                for delta in reversed(listed.ok)
            ]
        )

    async def document_at(
        self, *, version: int
    ) -> Result[Document, AdminError]:
        """The document of an accepted version."""
        read = await self._admin.document_at(version=version)
        if read.is_error():
            return Error(_error(read.error))
        return Ok(read.ok)

    async def roll_forward(self, *, version: int) -> Result[int, AdminError]:
        """Accept an earlier version's document as a new version."""
        base = await self._admin.current()
        if base.is_error():
            return Error(_error(base.error))
        return _accepted(
            await self._admin.roll_forward(base=base.ok, version=version)
        )

    async def set_out_of_service(
        self, *, section: OutOfServiceSection, name: str, reason: str | None
    ) -> Result[int, AdminError]:
        """Take out of service, or with None back in."""
        base = await self._admin.current()
        if base.is_error():
            return Error(_error(base.error))
        value = None if reason is None else {'reason': reason}
        return _accepted(
            await self._admin.apply_edits(
                base=base.ok, edits=(Edit(section.value, name, value),)
            )
        )

    async def _conflict(self, expected_version: int) -> AdminError:
        listed = await self._admin.versions(limit=LISTED_VERSIONS)
        made = listed.ok if listed.is_ok() else ()
        return AdminError(
            AdminErrorKind.CONFLICT,
            f'version {expected_version} is not the newest',
            [
                f'version {delta.version}: {_summary(delta)}'
                for delta in reversed(made)
                if delta.version > expected_version
            ],
        )


def _accepted(
    result: Result[AcceptedChange, history.AdminError],
) -> Result[int, AdminError]:
    if result.is_error():
        return Error(_error(result.error))
    return Ok(result.ok.version)


def _error(error: history.AdminError) -> AdminError:
    broken = [f'{rule.path}: {rule.detail}' for rule in error.errors]
    return AdminError(
        _KINDS[error.kind],
        '; '.join((error.detail, *broken)),
        [
            f'version {delta.version}: {_summary(delta)}'
            for delta in error.changes
        ],
    )


def _summary(delta: Delta) -> str:
    if not delta.edits:
        return 'large change'
    shown = list(_edit_texts(delta.edits[:_SHOWN_EDITS]))
    left = len(delta.edits) - len(shown)
    if left:
        shown.append(f'{left} more')
    return ', '.join(shown)


def _edit_texts(edits: Sequence[Edit]) -> Iterator[str]:
    for edit in edits:
        text = f'{edit.section}.{edit.key}'
        if edit.value is None:
            yield f'{text} removed'
        elif isinstance(edit.value, dict) and 'reason' in edit.value:
            yield f'{text} ({edit.value["reason"]})'
        else:
            yield f'{text} set'


def _admin(store: Store) -> StoreConfigurationAdmin:
    return StoreConfigurationAdmin(store=store, rng=random.Random())


def _report(store: Store) -> ReportReader:
    return ReportReader(store=store, codec=JsonDocumentCodec())


SERVICES: Final = CliServices(admin=_admin, report=_report, rules=rules)
