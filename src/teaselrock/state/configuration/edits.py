"""Edits of the configuration: apply them, and derive them from documents.

`rules` checks the document that results; `coordination` stores and spreads
edits as deltas between versions.
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
    """The edits that lead from version `version - 1` to `version`.

    `author` is a token that is unique to the change. A version that was
    written as a whole document has no edits here.
    """

    version: int
    author: str
    edits: tuple[Edit, ...]


def empty_document() -> Document:
    """A document without entries; it is version 0."""
    return cast(Document, {section: {} for section in SECTIONS})


def apply_edits(*, document: Document, edits: Iterable[Edit]) -> Document:
    """A new document with the edits applied; the old one is unchanged.

    Edits of unknown sections are ignored; `rules.validate_edits` names them.
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
    """The edits that turn `old` into `new`, in a fixed order."""
    edits = []
    for section in SECTIONS:
        before = cast(Mapping[str, Any], cast(Sections, old)[section])
        after = cast(Mapping[str, Any], cast(Sections, new)[section])
        for key in sorted(before.keys() | after.keys()):
            if before.get(key) != after.get(key):
                edits.append(Edit(section, key, after.get(key)))
    return tuple(edits)
