"""Stored form of configuration versions: the head and its snapshots.

The head names the newest snapshot; each snapshot names the one before, so
the accepted history is a chain, and a snapshot that a losing operator has
written is never part of it.
"""

from typing import TypedDict

from teaselrock.state.configuration.document import Document
from teaselrock.state.configuration.edits import Delta


class ConfigurationHead(TypedDict):
    """Object `config/head`: `deltas` lead from `snapshot` to `version`.

    `snapshot_key` is '' for the empty document, which is version 0.
    """

    version: int
    author: str
    snapshot: int
    snapshot_key: str
    deltas: list[Delta]


class Snapshot(TypedDict):
    """Immutable object: the document at `version` and its latest history.

    `deltas` lead from the snapshot `previous_key` to this version.
    """

    version: int
    previous: int
    previous_key: str
    deltas: list[Delta]
    document: Document
