"""Differences between versions of a routing table."""

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from registry_world import routing_table

from teaselrock.coordination.registry.table_edits import apply_edit
from teaselrock.coordination.registry.table_edits import edit_between
from teaselrock.coordination.registry.table_edits import RoutesPart
from teaselrock.coordination.registry.table_edits import share_routes
from teaselrock.state.routes import RoutingTable

ROUTE_NAMES = st.lists(st.sampled_from('abcdefgh'), max_size=12)


def _table(version: int, names: list[str]) -> RoutingTable:
    (template,) = routing_table(version).routes
    routes = tuple(
        template._replace(name=name, prefix=f'/{name}/') for name in names
    )
    return routing_table(version)._replace(routes=routes)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(before=ROUTE_NAMES, after=ROUTE_NAMES)
@example(before=['a', 'b'], after=['b', 'a', 'c', 'b'])
@example(before=['a'], after=['a', 'a', 'a'])
def test_edit_leads_to_the_table(before: list[str], after: list[str]) -> None:
    """Guards against routes that an edit loses, repeats or reorders.

    Routes that are listed several times may need the whole table instead.
    """
    base, table = _table(7, before), _table(9, after)
    edited = apply_edit(base, edit_between(base, table))
    if len(set(after)) == len(after):
        assert edited == table
    assert edited in (None, table)
    assert apply_edit(None, edit_between(None, table)) == table


def test_small_change_gives_a_small_edit() -> None:
    """Guards against edits that contain routes which did not change."""
    names = [f'r{n}' for n in range(2000)]
    base = _table(1, names)
    table = _table(2, [*names[:500], 'new', *names[501:]])
    edit = edit_between(base, table)
    assert edit.parts == (
        RoutesPart(0, 500, (table.routes[500],)),
        RoutesPart(501, 1499, ()),
    )
    assert edit.added_count == 1


def test_edit_of_another_version_is_not_applied() -> None:
    """Guards against a table that mixes routes of several versions."""
    edit = edit_between(_table(2, ['a']), _table(3, ['a', 'b']))
    assert apply_edit(_table(1, ['c']), edit) is None
    assert apply_edit(None, edit) is None


def test_edit_beyond_the_table_is_not_applied() -> None:
    """Guards against an edit of a faulty peer that is applied in part."""
    base = _table(1, ['a', 'b'])
    edit = edit_between(base, _table(2, ['a']))
    for part in (
        RoutesPart(0, 3, ()),
        RoutesPart(-1, 1, ()),
        RoutesPart(1, -1, ()),
    ):
        assert apply_edit(base, edit._replace(parts=(part,))) is None
    repeated = (RoutesPart(0, 2, ()),) * 2
    assert apply_edit(base, edit._replace(parts=repeated)) is None


def test_versions_share_equal_routes() -> None:
    """Guards against memory that grows with each version of a large table."""
    known, read = _table(1, ['a', 'b']), _table(2, ['a', 'c'])
    shared = share_routes(known, read)
    assert shared == read
    assert shared.routes[0] is known.routes[0]
