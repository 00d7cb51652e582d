"""Operators' changes against the stand-in store, and the rules."""

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


def _out(key: str, reason: str | None) -> Edit:
    value = None if reason is None else {'reason': reason}
    return Edit('out_servers', key, value)


async def _edit(admin: ConfigurationAdmin, *edits: Edit) -> Document:
    base = (await admin.current()).ok
    result = await admin.apply_edits(base=base, edits=edits)
    assert result.ok.version == base.version + 1
    return (await admin.current()).ok.document


def test_two_operators_at_once() -> None:
    """Guards against an operator who overwrites another's change."""

    async def scenario() -> None:
        fleet = ControlFleet(seed=1)
        await fleet.apply_document(example_document())
        admins = [fleet.admin() for _ in range(5)]
        base = (await admins[0].current()).ok
        results = await asyncio.gather(
            *(
                admin.apply_edits(base=base, edits=(_out(f's{i}', 'x'),))
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


def test_lost_answers_are_resolved() -> None:
    """Guards against a change that is reported lost but took effect."""

    async def scenario() -> None:
        fleet = ControlFleet(seed=2)
        await fleet.apply_document(example_document())
        admin = fleet.admin()
        fleet.store.lost_answer_share = 1.0
        document = await _edit(admin, _out('s1', 'x'))
        assert 's1' in document['out_servers']
        fleet.store.is_down = True
        assert (await admin.current()).error.kind is AdminErrorKind.UNAVAILABLE

    run_paused(scenario())


def test_history_over_snapshots() -> None:
    """Guards against a history that loses versions when the head shrinks.

    Includes a change that is too large for the head, and a snapshot of an
    operator who lost, which must not appear.
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
            held = documents[-1]['out_servers']
            edit = _out(key, None if key in held else str(number))
            edits = [edit]
            if number == 70:
                edits = [_out(f'large-{i}', 'y' * 50) for i in range(600)]
            documents.append(await _edit(admin, *edits))
            await asyncio.sleep(0.01)
        large = [_out(f'lost-{i}', 'z' * 50) for i in range(600)]
        lost = await admin.apply_edits(base=stale, edits=large)
        assert lost.error.kind is AdminErrorKind.CONFLICT
        assert len(lost.error.changes) == 158
        listed = (await admin.versions(limit=1000)).ok
        assert [delta.version for delta in listed] == list(range(159, 0, -1))
        for version in (1, 2, 65, 69, 70, 71, 120, 159):
            found = (await admin.document_at(version=version)).ok
            assert found == documents[version - 1]
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


def _set(*path: str, value: Any) -> Callable[[Document], None]:
    def change(document: Document) -> None:
        entry = cast(Any, document)
        for name in path[:-1]:
            entry = entry[int(name) if isinstance(entry, list) else name]
        entry[path[-1]] = value

    return change


DESK = dict(example_document()['services']['desk'])
RULE_CASES = {
    'customers.shannon.plan': _set(
        'customers', 'shannon', 'plan', value='gold'
    ),
    'plans.basic.weight': _set('plans', 'basic', 'weight', value=0),
    'plans.basic.allow.0.service': _set(
        'plans', 'basic', 'allow', '0', 'service', value='other'
    ),
    'plans.basic.allow.0.rate_per_second': _set(
        'plans', 'basic', 'allow', '0', 'rate_per_second', value=-1.0
    ),
    'services.copy.prefix': _set('services', 'copy', value=DESK),
    'services.desk.concurrency': _set(
        'services', 'desk', 'concurrency', value=0
    ),
    'services.desk.prefix': _set('services', 'desk', 'prefix', value='desk'),
    'out_zones.east': _set('out_zones', 'east', value={'reason': 'x'}),
}


@pytest.mark.parametrize('path', RULE_CASES)
def test_broken_rule_is_named_and_nothing_applied(path: str) -> None:
    """Guards against invalid configuration that reaches the fleet."""

    async def scenario() -> None:
        fleet = ControlFleet(seed=4)
        await fleet.apply_document(example_document())
        document = example_document()
        RULE_CASES[path](document)
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
    """Guards against entries of the wrong shape in the store."""

    async def scenario() -> None:
        fleet = ControlFleet(seed=5)
        admin = fleet.admin()
        base = (await admin.current()).ok
        result = await admin.apply_edits(base=base, edits=(edit,))
        assert result.error.kind is AdminErrorKind.INVALID
        assert 'config/head' not in fleet.store.values

    run_paused(scenario())


def test_difference_and_edits_agree() -> None:
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
