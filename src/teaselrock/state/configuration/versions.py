"""Stored form of configuration versions: the head and its snapshots.

The head refers to the newest snapshot and each snapshot to the one before,
so the accepted history is a linked list. A snapshot whose writer lost the
conditional update of the head is never part of it.
"""

from typing import TypedDict

from teaselrock.state.configuration.document import Document
from teaselrock.state.configuration.edits import Delta


class ConfigurationHead(TypedDict):
    """Object `config/head`: the newest version.

    `author` is the change token of `version`, not a person. `snapshot` is the
    version of the newest snapshot; `deltas` are the changes since then.
    `snapshot_key` is '' for the empty document, which is version 0.
    """

    version: int
    author: str
    snapshot: int
    snapshot_key: str
    deltas: list[Delta]


class Snapshot(TypedDict):
    """Immutable object: the document at `version`.

    `deltas` are the changes since the snapshot `previous_key`, which has
    version `previous`.
    """

    version: int
    previous: int
    previous_key: str
    deltas: list[Delta]
    document: Document
