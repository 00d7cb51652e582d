"""Operators' changes on the stand-in store, and validation rules."""

import asyncio
from collections.abc import Callable
import random
from typing import Any
from typing import cast

import pytest

from teaselrock.bench.control_fleet import ControlFleet
from teaselrock.bench.control_fleet import example_document
from teaselrock.coordination.configuration_admin import ConfigurationAdmin
from teaselrock.coordination.configuration_history import AdminErrorKind
from teaselrock.standins.clock import run_paused
from teaselrock.state.configuration import apply_edits
from teaselrock.state.configuration import diff_documents
from teaselrock.state.configuration import Document
from teaselrock.state.configuration import Edit
from teaselrock.state.configuration import validate_document


def _server_out_edit(key: str, reason: str | None) -> Edit:
    value = None if reason is None else {'reason': reason}
    return Edit('out_servers', key, value)


async def _apply_edits(admin: ConfigurationAdmin, *edits: Edit) -> Document:
    base = (await admin.current()).ok
    result = await admin.apply_edits(base=base, edits=edits)
    assert result.ok.version == base.version + 1
    return (await admin.current()).ok.document


def test_concurrent_changes_conflict() -> None:
    """Guards against an operator who overwrites another's change.

    Five operators change the same version at once; one may succeed, and the
    others must get the conflicting change.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=1)
        await fleet.apply_document(example_document())
        admins = [fleet.admin() for _ in range(5)]
        base = (await admins[0].current()).ok
        results = await asyncio.gather(
            *(
                admin.apply_edits(
                    base=base, edits=(_server_out_edit(f's{i}', 'x'),)
                )
                for i, admin in enumerate(admins)
            )
        )
        accepted = [result for result in results if result.is_ok()]
        assert len(accepted) == 1
        current = (await admins[0].current()).ok
        assert current.version == 2
        assert len(current.document['out_servers']) == 1
        for result in results:
            if result.is_error():
                assert result.error.kind is AdminErrorKind.CONFLICT
                (change,) = result.error.changes
                assert change.edits[0].key in current.document['out_servers']

    run_paused(scenario())


def test_lost_store_responses_are_resolved() -> None:
    """Guards against a change that is reported as failed but took effect.

    The store applies the write, but its response is lost.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=2)
        await fleet.apply_document(example_document())
        admin = fleet.admin()
        fleet.store.lost_response_share = 1.0
        document = await _apply_edits(admin, _server_out_edit('s1', 'x'))
        assert 's1' in document['out_servers']
        fleet.store.is_down = True
        assert (await admin.current()).error.kind is AdminErrorKind.UNAVAILABLE

    run_paused(scenario())


def test_history_spans_head_and_snapshots() -> None:
    """Guards against versions that are lost when the head is shortened.

    One change is too large for the head. The snapshot of a conflicting
    change, which was never accepted, must not appear in the history.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=3)
        rng = random.Random(3)
        documents = [example_document()]
        await fleet.apply_document(documents[0])
        admin = fleet.admin()
        stale = (await admin.current()).ok
        for number in range(2, 160):
            key = f's{rng.randrange(20)}'
            servers_out = documents[-1]['out_servers']
            edit = _server_out_edit(
                key, None if key in servers_out else str(number)
            )
            edits = [edit]
            if number == 70:
                edits = [
                    _server_out_edit(f'large-{i}', 'y' * 50)
                    for i in range(600)
                ]
            documents.append(await _apply_edits(admin, *edits))
            await asyncio.sleep(0.01)
        large = [_server_out_edit(f'lost-{i}', 'z' * 50) for i in range(600)]
        conflict = await admin.apply_edits(base=stale, edits=large)
        assert conflict.error.kind is AdminErrorKind.CONFLICT
        assert len(conflict.error.changes) == 158
        listed = (await admin.versions(limit=1000)).ok
        assert [delta.version for delta in listed] == list(range(159, 0, -1))
        for version in (1, 2, 65, 69, 70, 71, 120, 159):
            document = (await admin.document_at(version=version)).ok
            assert document == documents[version - 1]
        missing = await admin.document_at(version=160)
        assert missing.error.kind is AdminErrorKind.NOT_FOUND
        base = (await admin.current()).ok
        assert (await admin.roll_forward(base=base, version=5)).ok.version == (
            160
        )
        assert (await admin.current()).ok.document == documents[4]
        head = fleet.store.values['config/head']
        assert len(head.value) <= 32_768

    run_paused(scenario())


def _setter(*path: str, value: Any) -> Callable[[Document], None]:
    def change(document: Document) -> None:
        entry = cast(Any, document)
        for name in path[:-1]:
            entry = entry[int(name) if isinstance(entry, list) else name]
        entry[path[-1]] = value

    return change


DESK = dict(example_document()['services']['desk'])
VIOLATIONS = {
    'customers.shannon.plan': _setter(
        'customers', 'shannon', 'plan', value='gold'
    ),
    'plans.basic.weight': _setter('plans', 'basic', 'weight', value=0),
    'plans.basic.allow.0.service': _setter(
        'plans', 'basic', 'allow', '0', 'service', value='other'
    ),
    'plans.basic.allow.0.rate_per_second': _setter(
        'plans', 'basic', 'allow', '0', 'rate_per_second', value=-1.0
    ),
    'services.copy.prefix': _setter('services', 'copy', value=DESK),
    'services.desk.concurrency': _setter(
        'services', 'desk', 'concurrency', value=0
    ),
    'services.desk.prefix': _setter(
        'services', 'desk', 'prefix', value='desk'
    ),
    'out_zones.east': _setter('out_zones', 'east', value={'reason': 'x'}),
}


@pytest.mark.parametrize('path', VIOLATIONS)
def test_invalid_document_is_not_applied(path: str) -> None:
    """Guards against an invalid configuration that reaches the fleet.

    Each document violates one rule, whose path the error must name.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=4)
        await fleet.apply_document(example_document())
        document = example_document()
        VIOLATIONS[path](document)
        assert [error.path for error in validate_document(document)] == [path]
        admin = fleet.admin()
        base = (await admin.current()).ok
        result = await admin.apply_document(base=base, document=document)
        assert result.error.kind is AdminErrorKind.INVALID
        assert (await admin.current()).ok.version == 1

    run_paused(scenario())


@pytest.mark.parametrize(
    'edit',
    (
        Edit('zones', 'east', {}),
        Edit('plans', '', {}),
        Edit('plans', 'gold', {'weight': 'heavy', 'allow': []}),
    ),
)
def test_malformed_edit_is_refused(edit: Edit) -> None:
    """Guards against malformed entries in the store.

    The edits have an unknown section, an empty key and a wrong type.
    """

    async def scenario() -> None:
        fleet = ControlFleet(seed=5)
        admin = fleet.admin()
        base = (await admin.current()).ok
        result = await admin.apply_edits(base=base, edits=(edit,))
        assert result.error.kind is AdminErrorKind.INVALID
        assert 'config/head' not in fleet.store.values

    run_paused(scenario())


def test_diff_leads_to_the_new_document() -> None:
    """Guards against a delta that does not lead to the new document."""
    old = example_document()
    new = apply_edits(
        document=old,
        edits=(
            Edit('services', 'copy', {**DESK, 'prefix': '/copy'}),
            Edit('customers', 'shannon', None),
            Edit('out_zones', 'east/a', {'reason': 'x'}),
        ),
    )
    assert old == example_document()
    edits = diff_documents(old=old, new=new)
    assert len(edits) == 3
    assert apply_edits(document=old, edits=edits) == new
    assert diff_documents(old=new, new=new) == ()
