"""Differences between two versions of a routing table.

Versions of a table with thousands of routes mostly differ in a few of them.
`relay` sends the difference, since the whole table would fill the link of the
instance that sends it to all others of its region.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from teaselrock.state.routes import CallerLimits
from teaselrock.state.routes import Route
from teaselrock.state.routes import RoutingTable
from teaselrock.state.routes import ServiceProfile


class RoutesPart(NamedTuple):
    """A run of routes of the base table, and the new routes after it."""

    kept_from: int
    kept_count: int
    added: tuple[Route, ...]


class TableEdit(NamedTuple):
    """A table as a difference from the one with `base_version`.

    `base_version` 0 stands for an empty table, `base_count` is the number of
    its routes. Services and limits are complete: they are small.
    """

    base_version: int
    base_count: int
    version: int
    parts: tuple[RoutesPart, ...]
    services: Mapping[str, ServiceProfile]
    limits: CallerLimits

    @property
    def added_count(self) -> int:
        """Number of routes that the edit contains."""
        return sum(len(part.added) for part in self.parts)


def edit_between(base: RoutingTable | None, table: RoutingTable) -> TableEdit:
    """The edit that leads from `base`, or from no table, to `table`."""
    base_routes = base.routes if base is not None else ()
    return TableEdit(
        base.version if base is not None else 0,
        len(base_routes),
        table.version,
        _parts(base_routes, table.routes),
        table.services,
        table.limits,
    )


def apply_edit(
    base: RoutingTable | None, edit: TableEdit
) -> RoutingTable | None:
    """The table that an edit describes; None if `base` is another version.

    A version identifies one table, since the operator never uses it again.
    """
    if edit.base_version == 0:
        base_routes: tuple[Route, ...] = ()
    elif base is not None and base.version == edit.base_version:
        base_routes = base.routes
    else:
        return None
    if edit.base_count != len(base_routes):
        return None
    routes: list[Route] = []
    kept_count = 0
    for part in edit.parts:
        end = part.kept_from + part.kept_count
        kept_count += part.kept_count
        if not 0 <= part.kept_from <= end <= len(base_routes):
            return None
        if kept_count > len(base_routes):
            # Parts that overlap could describe a table of any size.
            return None
        routes += base_routes[part.kept_from : end]
        routes += part.added
    return RoutingTable(
        edit.version, tuple(routes), edit.services, edit.limits
    )


def share_routes(known: RoutingTable, table: RoutingTable) -> RoutingTable:
    """The table with the route objects of `known` where they are equal.

    Several versions are kept at a time, and a large table takes megabytes.
    """
    known_routes = {route: route for route in known.routes}
    return table._replace(
        routes=tuple(known_routes.get(route, route) for route in table.routes)
    )


def _parts(
    base: Sequence[Route], routes: Sequence[Route]
) -> tuple[RoutesPart, ...]:
    """Describe `routes` by runs of `base` and the routes between them."""
    indices = {route: index for index, route in enumerate(base)}
    parts: list[RoutesPart] = []
    kept_from, kept_count = 0, 0
    added: list[Route] = []
    for route in routes:
        index = indices.get(route)
        if index is None:
            added.append(route)
        elif not added and index == kept_from + kept_count:
            kept_count += 1
        else:
            if kept_count or added:
                parts.append(RoutesPart(kept_from, kept_count, tuple(added)))
            kept_from, kept_count, added = index, 1, []
    if kept_count or added:
        parts.append(RoutesPart(kept_from, kept_count, tuple(added)))
    return tuple(parts)
