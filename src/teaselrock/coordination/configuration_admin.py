"""Changes of the configuration by operators, written to the store.

The command line uses it without joining the fleet. A change is accepted by
one conditional put of `config/head`, so two operators cannot overwrite each
other's changes.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import random
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.configuration_history import AdminError
from teaselrock.coordination.configuration_history import AdminErrorKind
from teaselrock.coordination.configuration_history import ConfigurationHistory
from teaselrock.coordination.configuration_history import CurrentVersion
from teaselrock.coordination.configuration_history import from_store_error
from teaselrock.coordination.dissemination import ConfigDelta
from teaselrock.coordination.dissemination import HEAD_KEY
from teaselrock.coordination.dissemination import MAX_DELTAS_BYTES
from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import Store
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.state import AvailabilityZone
from teaselrock.state.configuration import apply_edits
from teaselrock.state.configuration import ConfigurationHead
from teaselrock.state.configuration import Delta
from teaselrock.state.configuration import diff_documents
from teaselrock.state.configuration import Document
from teaselrock.state.configuration import Edit
from teaselrock.state.configuration import RuleError
from teaselrock.state.configuration import Snapshot
from teaselrock.state.configuration import validate_document
from teaselrock.state.configuration import validate_edits

# Limits of the head, which each instance reads as a whole; above them the
# deltas are moved to a snapshot.
MAX_HEAD_DELTAS: Final = 64
MAX_HEAD_BYTES: Final = 32_768
# Reads after a put without a response. Read number n, from 0, follows a delay
# of n steps.
READ_BACK_ATTEMPTS: Final = 5
READ_BACK_STEP_S: Final = 0.5
# An instance that lags by at most this many versions gets all that it lacks
# from one announcement.
MAX_ANNOUNCED_DELTAS: Final = 16

DeltaSender = Callable[[ConfigDelta], None]


class AcceptedChange(NamedTuple):
    """A change that is in the store, and its version."""

    version: int


class ConfigurationAdmin:
    """Reads and changes the configuration in the store.

    `announce` sends accepted deltas to the instances that it chooses. Without
    it, instances read the change from the store only, so an outage of the
    store right after the accepting write delays the change.
    """

    def __init__(
        self,
        *,
        store: Store,
        codec: DocumentCodec,
        rng: random.Random,
        announce: DeltaSender | None = None,
    ) -> None:
        self._store = store
        self._announce = announce
        self._codec = codec
        self._rng = rng
        self._history = ConfigurationHistory(store=store, codec=codec)

    async def current(self) -> Result[CurrentVersion, AdminError]:
        """Read the newest version, which a change is based on."""
        return await self._history.current()

    async def versions(
        self, *, limit: int = 100
    ) -> Result[Sequence[Delta], AdminError]:
        """Read up to `limit` versions with their edits, newest first."""
        return await self._history.versions(limit=limit)

    async def document_at(
        self, *, version: int
    ) -> Result[Document, AdminError]:
        """Build the document of a version."""
        return await self._history.document_at(version=version)

    async def apply_edits(
        self, *, base: CurrentVersion, edits: Iterable[Edit]
    ) -> Result[AcceptedChange, AdminError]:
        """Accept edits if `base` is still the newest version.

        Errors: INVALID with all violated rules, CONFLICT with the versions
        accepted since `base`, UNKNOWN if the store's response was lost and
        the result could not be read back, UNAVAILABLE if nothing was changed.
        """
        new_edits = tuple(edits)
        errors = validate_edits(new_edits)
        if errors:
            return Error(_invalid(errors))
        return await self.apply_document(
            base=base,
            document=apply_edits(document=base.document, edits=new_edits),
        )

    async def apply_document(
        self, *, base: CurrentVersion, document: Document
    ) -> Result[AcceptedChange, AdminError]:
        """Accept a whole document if `base` is still the newest version.

        Errors are those of `apply_edits`. If the document equals that of
        `base`, nothing is written and the version of `base` is returned.
        """
        data = self._codec.encode(value=document)
        decoded = self._codec.decode(data=data, value_type=Document)
        if decoded.is_error():
            return Error(_invalid((RuleError('', decoded.error.detail),)))
        errors = validate_document(document)
        if errors:
            return Error(_invalid(errors))
        edits = diff_documents(old=base.document, new=document)
        if not edits:
            return Ok(AcceptedChange(base.version))
        return await self._write_change(base, document, edits)

    async def roll_forward(
        self, *, base: CurrentVersion, version: int
    ) -> Result[AcceptedChange, AdminError]:
        """Accept the content of an earlier version as a new version."""
        earlier = await self.document_at(version=version)
        if earlier.is_error():
            return Error(earlier.error)
        return await self.apply_document(base=base, document=earlier.ok)

    async def set_zone(
        self,
        *,
        base: CurrentVersion,
        zone: AvailabilityZone,
        reason: str | None,
    ) -> Result[AcceptedChange, AdminError]:
        """Take a zone out of service, or back in if `reason` is None.

        The key in `out_zones` is `str(zone)`, the region and the zone name.
        """
        return await self._set_out_of_service(
            base, 'out_zones', str(zone), reason
        )

    async def set_instance(
        self, *, base: CurrentVersion, instance_id: str, reason: str | None
    ) -> Result[AcceptedChange, AdminError]:
        """Take an instance out of service, or back in if `reason` is None."""
        return await self._set_out_of_service(
            base, 'out_instances', instance_id, reason
        )

    async def set_server(
        self, *, base: CurrentVersion, server_id: str, reason: str | None
    ) -> Result[AcceptedChange, AdminError]:
        """Take a server out of service, or back in if `reason` is None."""
        return await self._set_out_of_service(
            base, 'out_servers', server_id, reason
        )

    async def _set_out_of_service(
        self, base: CurrentVersion, section: str, key: str, reason: str | None
    ) -> Result[AcceptedChange, AdminError]:
        value = None if reason is None else {'reason': reason}
        return await self.apply_edits(
            base=base, edits=(Edit(section, key, value),)
        )

    async def _write_change(
        self, base: CurrentVersion, document: Document, edits: tuple[Edit, ...]
    ) -> Result[AcceptedChange, AdminError]:
        # Identifies this write, not the operator; stored in the head as
        # `author`.
        change_token = f'{self._rng.getrandbits(64):016x}'
        delta = Delta(base.version + 1, change_token, edits)
        prepared = await self._prepare_head(base, document, delta)
        if prepared.is_error():
            return Error(prepared.error)
        result = await self._store.put(
            key=HEAD_KEY,
            value=self._codec.encode(value=prepared.ok),
            expected_version=base.store_version,
        )
        if result.is_ok():
            self._announce_head(prepared.ok)
            return Ok(AcceptedChange(delta.version))
        if result.error.kind in (
            StoreErrorKind.LIMITED,
            StoreErrorKind.TOO_LARGE,
        ):
            return Error(from_store_error(result.error))
        confirmed = await self._read_back(base, delta, result.error.kind)
        if confirmed.is_ok():
            self._announce_head(prepared.ok)
        return confirmed

    def _announce_head(self, head: ConfigurationHead) -> None:
        """Announce an accepted head and the newest deltas that fit."""
        if self._announce is None:
            return
        deltas = tuple(head['deltas'][-MAX_ANNOUNCED_DELTAS:])
        while (
            deltas and len(self._codec.encode(value=deltas)) > MAX_DELTAS_BYTES
        ):
            deltas = deltas[1:]
        self._announce(ConfigDelta(head['version'], deltas))

    async def _prepare_head(
        self, base: CurrentVersion, document: Document, delta: Delta
    ) -> Result[ConfigurationHead, AdminError]:
        """Build the new head; write a snapshot first if it is too large."""
        head: ConfigurationHead = {
            **base.head,
            'version': delta.version,
            'author': delta.change_token,
            'deltas': [*base.head['deltas'], delta],
        }
        if self._fits(head):
            return Ok(head)
        head_with_one_delta: ConfigurationHead = {**head, 'deltas': [delta]}
        is_too_large = not self._fits(head_with_one_delta)
        # A change that is too large is stored as a document, without edits.
        history = [*base.head['deltas']]
        snapshot: Snapshot = {
            'version': base.version,
            'previous': base.head['snapshot'],
            'previous_key': base.head['snapshot_key'],
            'deltas': history,
            'document': base.document,
        }
        if is_too_large:
            history.append(delta._replace(edits=()))
            snapshot['version'] = delta.version
            snapshot['document'] = document
        # The change token gives snapshots of concurrent changes different
        # keys.
        version = snapshot['version']
        key = f'config/snapshots/{version:012d}-{delta.change_token}'
        written = await self._store.put(
            key=key,
            value=self._codec.encode(value=snapshot),
            expected_version=0,
        )
        if written.is_error():
            return Error(from_store_error(written.error))
        head['snapshot'] = version
        head['snapshot_key'] = key
        head['deltas'] = [] if is_too_large else [delta]
        return Ok(head)

    def _fits(self, head: ConfigurationHead) -> bool:
        return (
            len(head['deltas']) <= MAX_HEAD_DELTAS
            and len(self._codec.encode(value=head)) <= MAX_HEAD_BYTES
        )

    async def _read_back(
        self, base: CurrentVersion, delta: Delta, kind: StoreErrorKind
    ) -> Result[AcceptedChange, AdminError]:
        """Determine by its change token whether a put took effect."""
        if kind is StoreErrorKind.UNAVAILABLE:
            detail = f'the put of {HEAD_KEY} failed; nothing was changed'
            return Error(AdminError(AdminErrorKind.UNAVAILABLE, detail))
        for attempt in range(READ_BACK_ATTEMPTS):
            # The put may still be in progress.
            await asyncio.sleep(READ_BACK_STEP_S * attempt)
            listed = await self._history.since(version=base.version)
            if listed.is_error():
                continue
            accepted = tuple(reversed(listed.ok))
            if any(
                other.change_token == delta.change_token for other in accepted
            ):
                return Ok(AcceptedChange(delta.version))
            if accepted:
                return Error(
                    AdminError(
                        AdminErrorKind.CONFLICT,
                        f'version {base.version} is no longer the newest',
                        changes=accepted,
                    )
                )
        detail = (
            f'no response to the put of version {delta.version}, which may be '
            'accepted; list the versions before retrying'
        )
        return Error(AdminError(AdminErrorKind.UNKNOWN, detail))


def _invalid(errors: tuple[RuleError, ...]) -> AdminError:
    return AdminError(
        AdminErrorKind.INVALID,
        'the document violates the rules of the configuration',
        errors=errors,
    )
