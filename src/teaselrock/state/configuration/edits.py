"""Edits of the configuration: applying them and computing differences.

`rules` validates the resulting document; `coordination` stores and
distributes edits as deltas between versions.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import cast
from typing import Final
from typing import NamedTuple

from teaselrock.state.configuration.document import Document

SECTIONS: Final = (
    'customers',
    'plans',
    'services',
    'out_zones',
    'out_instances',
    'out_servers',
)

Sections = dict[str, dict[str, Any]]


class Edit(NamedTuple):
    """Sets one entry of a section, or removes it if `value` is None."""

    section: str
    key: str
    value: dict[str, Any] | None


class Delta(NamedTuple):
    """The edits between version `version - 1` and `version`.

    `change_token` is unique to the change. `edits` is empty for a version
    that was written as a whole document.
    """

    version: int
    change_token: str
    edits: tuple[Edit, ...]


def empty_document() -> Document:
    """Return a document without entries, which is version 0."""
    return cast(Document, {section: {} for section in SECTIONS})


def apply_edits(*, document: Document, edits: Iterable[Edit]) -> Document:
    """Return a new document with the edits applied; `document` is unchanged.

    Edits of unknown sections are ignored; `rules.validate_edits` reports
    them.
    """
    sections: Sections = dict(cast(Sections, document))
    copied = set()
    for section, key, value in edits:
        if section not in SECTIONS:
            continue
        if section not in copied:
            sections[section] = dict(sections[section])
            copied.add(section)
        if value is None:
            sections[section].pop(key, None)
        else:
            sections[section][key] = value
    return cast(Document, sections)


def diff_documents(*, old: Document, new: Document) -> tuple[Edit, ...]:
    """Return the edits that turn `old` into `new`, in a fixed order."""
    edits = []
    for section in SECTIONS:
        before = cast(Mapping[str, Any], cast(Sections, old)[section])
        after = cast(Mapping[str, Any], cast(Sections, new)[section])
        for key in sorted(before.keys() | after.keys()):
            if before.get(key) != after.get(key):
                edits.append(Edit(section, key, after.get(key)))
    return tuple(edits)
