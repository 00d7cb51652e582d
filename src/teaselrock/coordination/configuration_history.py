"""Reads the accepted versions of the configuration from the store.

`configuration_admin` uses it. The history is a chain of snapshots, from the
head backwards; each holds the deltas between its predecessor and itself.
"""

from collections.abc import Sequence
import enum
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.dissemination import HEAD_KEY
from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import Store
from teaselrock.coordination.ports import StoreError
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.state.configuration import apply_edits
from teaselrock.state.configuration import ConfigurationHead
from teaselrock.state.configuration import Delta
from teaselrock.state.configuration import Document
from teaselrock.state.configuration import empty_document
from teaselrock.state.configuration import RuleError
from teaselrock.state.configuration import Snapshot


class AdminErrorKind(enum.StrEnum):
    """Why a read or change of the configuration failed.

    `UNKNOWN` means that the change may have been accepted. `NOT_FOUND`
    includes objects that exist but cannot be decoded.
    """

    INVALID = 'invalid'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'
    UNAVAILABLE = 'unavailable'
    NOT_FOUND = 'not-found'


class AdminError(NamedTuple):
    """A failed read or change of the configuration.

    `errors` are the violated rules of an invalid document. On a conflict,
    `changes` are the versions accepted since the base, in order.
    """

    kind: AdminErrorKind
    detail: str
    errors: tuple[RuleError, ...] = ()
    changes: tuple[Delta, ...] = ()


class CurrentVersion(NamedTuple):
    """The newest version as it was read.

    `store_version` is the version of the head object, 0 if there is none.
    """

    version: int
    document: Document
    head: ConfigurationHead
    store_version: int


class _HistoryPart(NamedTuple):
    """Part of the history: `deltas` follow the snapshot at `key`.

    Without an older snapshot, `key` is ''.
    """

    deltas: Sequence[Delta]
    key: str


def from_store_error(error: StoreError) -> AdminError:
    """Convert the error of a store call."""
    kind = {
        StoreErrorKind.UNKNOWN: AdminErrorKind.UNKNOWN,
        StoreErrorKind.TOO_LARGE: AdminErrorKind.INVALID,
    }.get(error.kind, AdminErrorKind.UNAVAILABLE)
    return AdminError(kind, f'store: {error.kind}: {error.detail}')


class ConfigurationHistory:
    """Reads the accepted versions in the store."""

    def __init__(self, *, store: Store, codec: DocumentCodec) -> None:
        self._store = store
        self._codec = codec

    async def current(self) -> Result[CurrentVersion, AdminError]:
        """Read the head and build its document."""
        read = await self._read_head()
        if read.is_error():
            return Error(read.error)
        head, store_version = read.ok
        base = await self._read_document(head['snapshot_key'])
        if base.is_error():
            return Error(base.error)
        document = _replay(base.ok, head['deltas'], head['version'])
        return Ok(
            CurrentVersion(head['version'], document, head, store_version)
        )

    async def versions(
        self, *, limit: int
    ) -> Result[Sequence[Delta], AdminError]:
        """Read up to `limit` versions, newest first."""
        return await self._read_versions(limit=limit, after=0)

    async def since(
        self, *, version: int
    ) -> Result[Sequence[Delta], AdminError]:
        """Read all versions after `version`, newest first."""
        return await self._read_versions(limit=None, after=version)

    async def newest_snapshots(
        self, *, count: int, versions: int
    ) -> Result[Sequence[str], AdminError]:
        """List keys of the newest snapshots in the chain, newest first.

        They are at least `count` and hold at least `versions` versions, if
        the chain is long enough.
        """
        read = await self._read_head()
        if read.is_error():
            return Error(read.error)
        head = read.ok[0]
        part = _HistoryPart(head['deltas'], head['snapshot_key'])
        found = len(part.deltas)
        keys: list[str] = []
        while part.key and (len(keys) < count or found < versions):
            loaded = await self._read_snapshot(part.key)
            if loaded.is_error():
                if keys and loaded.error.kind is AdminErrorKind.NOT_FOUND:
                    # Older snapshots were deleted.
                    break
                return Error(loaded.error)
            keys.append(part.key)
            part = _HistoryPart(loaded.ok['deltas'], loaded.ok['previous_key'])
            found += len(part.deltas)
        return Ok(keys)

    async def document_at(
        self, *, version: int
    ) -> Result[Document, AdminError]:
        """Build the document of a version."""
        read = await self._read_head()
        if read.is_error():
            return Error(read.error)
        head = read.ok[0]
        if not 0 <= version <= head['version']:
            return Error(_not_found(f'there is no version {version}'))
        deltas = head['deltas']
        first, key = head['snapshot'], head['snapshot_key']
        while version < first:
            loaded = await self._read_snapshot(key)
            if loaded.is_error():
                return Error(loaded.error)
            deltas = loaded.ok['deltas']
            first = loaded.ok['previous']
            key = loaded.ok['previous_key']
        base = await self._read_document(key)
        if base.is_error():
            return Error(base.error)
        return Ok(_replay(base.ok, deltas, version))

    async def _read_versions(
        self, *, limit: int | None, after: int
    ) -> Result[Sequence[Delta], AdminError]:
        read = await self._read_head()
        if read.is_error():
            return Error(read.error)
        head = read.ok[0]
        part = _HistoryPart(head['deltas'], head['snapshot_key'])
        found: list[Delta] = []
        while True:
            found += [
                delta
                for delta in reversed(part.deltas)
                if delta.version > after
            ]
            oldest = part.deltas[0].version if part.deltas else None
            is_complete = oldest is not None and oldest <= after + 1
            if is_complete or not part.key:
                break
            if limit is not None and len(found) >= limit:
                break
            loaded = await self._read_snapshot(part.key)
            if (
                found
                and loaded.is_error()
                and loaded.error.kind is AdminErrorKind.NOT_FOUND
            ):
                # Older snapshots were deleted.
                break
            if loaded.is_error():
                return Error(loaded.error)
            part = _HistoryPart(loaded.ok['deltas'], loaded.ok['previous_key'])
        return Ok(found if limit is None else found[:limit])

    async def _read_head(
        self,
    ) -> Result[tuple[ConfigurationHead, int], AdminError]:
        result = await self._store.get(key=HEAD_KEY)
        if result.is_error():
            return Error(from_store_error(result.error))
        if result.ok is None:
            head: ConfigurationHead = {
                'version': 0,
                'author': '',
                'snapshot': 0,
                'snapshot_key': '',
                'deltas': [],
            }
            return Ok((head, 0))
        decoded = self._codec.decode(
            data=result.ok.value, value_type=ConfigurationHead
        )
        if decoded.is_error():
            return Error(_not_found(f'{HEAD_KEY}: {decoded.error.detail}'))
        return Ok((decoded.ok, result.ok.version))

    async def _read_snapshot(self, key: str) -> Result[Snapshot, AdminError]:
        result = await self._store.get(key=key)
        if result.is_error():
            return Error(from_store_error(result.error))
        if result.ok is None:
            return Error(_not_found(f'{key} is missing'))
        decoded = self._codec.decode(data=result.ok.value, value_type=Snapshot)
        if decoded.is_error():
            return Error(_not_found(f'{key}: {decoded.error.detail}'))
        return Ok(decoded.ok)

    async def _read_document(self, key: str) -> Result[Document, AdminError]:
        if not key:
            return Ok(empty_document())
        loaded = await self._read_snapshot(key)
        if loaded.is_error():
            return Error(loaded.error)
        return Ok(loaded.ok['document'])


def _not_found(detail: str) -> AdminError:
    return AdminError(AdminErrorKind.NOT_FOUND, detail)


def _replay(
    document: Document, deltas: Sequence[Delta], version: int
) -> Document:
    for delta in deltas:
        if delta.version <= version:
            document = apply_edits(document=document, edits=delta.edits)
    return document
