"""The configuration in force at one instance; versions only increase."""

import asyncio
from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from typing import Final

from teaselrock.state.configuration import apply_edits
from teaselrock.state.configuration import Delta
from teaselrock.state.configuration import Document
from teaselrock.state.configuration import empty_document

# Deltas kept for peers that lag; others get the whole document.
MAX_KEPT_DELTAS: Final = 256


class ConfigurationInForce:
    """Document in force, its version, and the latest deltas up to it."""

    def __init__(self) -> None:
        self._version = 0
        self._document = empty_document()
        self._deltas: deque[Delta] = deque(maxlen=MAX_KEPT_DELTAS)
        self._listeners: list[Callable[[], None]] = []
        self._waiters: dict[asyncio.Future[None], int] = {}

    @property
    def version(self) -> int:
        """Version in force, 0 if there is none."""
        return self._version

    @property
    def document(self) -> Document:
        """The document in force."""
        return self._document

    def on_advance(self, listener: Callable[[], None]) -> None:
        """Call `listener` after every new version."""
        self._listeners.append(listener)

    async def wait_for(self, version: int) -> None:
        """Wait until at least `version` is in force."""
        if self._version >= version:
            return
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[waiter] = version
        try:
            await waiter
        finally:
            del self._waiters[waiter]

    def since(self, version: int) -> tuple[Delta, ...] | None:
        """Deltas after `version`; None if some of them are not kept."""
        deltas = tuple(
            delta for delta in self._deltas if delta.version > version
        )
        if len(deltas) != self._version - version:
            return None
        return deltas

    def apply_deltas(self, deltas: Iterable[Delta]) -> bool:
        """Apply the deltas that directly follow the version in force.

        Returns whether the version advanced.
        """
        before = self._version
        document = self._document
        for delta in sorted(deltas, key=lambda delta: delta.version):
            if delta.version == self._version + 1 and delta.edits:
                document = apply_edits(document=document, edits=delta.edits)
                self._deltas.append(delta)
                self._version = delta.version
        if self._version == before:
            return False
        self._document = document
        self._notify()
        return True

    def apply_document(self, *, version: int, document: Document) -> bool:
        """Replace the document; False if the version is not higher."""
        if version <= self._version:
            return False
        self._version = version
        self._document = document
        self._deltas.clear()
        self._notify()
        return True

    def _notify(self) -> None:
        for waiter, version in self._waiters.items():
            if self._version >= version and not waiter.done():
                waiter.set_result(None)
        for listener in self._listeners:
            listener()
