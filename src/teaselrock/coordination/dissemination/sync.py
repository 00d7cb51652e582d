"""Keeps the configuration of one instance at the newest version.

`ConfigurationSync` puts versions from the store and from peers in force, and
decides when a starting instance may serve.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Final

from teaselrock.coordination.control_budget import Priority
from teaselrock.coordination.dissemination.in_force import ConfigurationInForce
from teaselrock.coordination.dissemination.messages import KINDS
from teaselrock.coordination.dissemination.peer_source import PeerSource
from teaselrock.coordination.dissemination.store_source import StoreSource
from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.membership import Membership
from teaselrock.coordination.peers import PeerHub
from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import Store
from teaselrock.state.configuration import Document

INITIAL_READ_RETRY_S: Final = 0.3


class ConfigurationSync:
    """The configuration in force at this instance."""

    def __init__(
        self,
        *,
        hub: PeerHub,
        membership: Membership,
        store: Store,
        codec: DocumentCodec,
        rng: random.Random,
        events: Events = NoEvents(),
    ) -> None:
        self._events = events
        self._membership = membership
        self._rng = rng
        self._in_force = ConfigurationInForce()
        self._has_initial_version = False
        self._store_source = StoreSource(
            in_force=self._in_force,
            store=store,
            codec=codec,
            view=membership,
            rng=rng,
            events=events,
        )
        self._peer_source = PeerSource(
            in_force=self._in_force,
            hub=hub,
            view=membership,
            codec=codec,
            rng=rng,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._in_force.on_advance(self._emit_version)
        hub.set_priorities(
            priorities=dict.fromkeys(KINDS.values(), Priority.FACTS)
        )
        membership.exchange.add_listener(self._peer_source.on_status)
        membership.on_change(self._store_source.on_members_changed)

    @property
    def version(self) -> int:
        """Version in force, 0 if there is none."""
        return self._in_force.version

    @property
    def document(self) -> Document:
        """The document in force."""
        return self._in_force.document

    @property
    def has_configuration(self) -> bool:
        """Whether this instance may serve with the version in force."""
        return self._has_initial_version and self._in_force.version > 0

    @property
    def is_watcher(self) -> bool:
        """Whether this instance is a configuration watcher of its region."""
        return self._store_source.is_watcher

    def on_advance(self, listener: Callable[[], None]) -> None:
        """Call `listener` after every new version."""
        self._in_force.on_advance(listener)

    async def wait_for(self, version: int) -> None:
        """Wait until at least `version` is in force here."""
        await self._in_force.wait_for(version)

    def start(self) -> None:
        """Start the tasks that read the store and request from peers."""
        self._tasks = [
            asyncio.create_task(self._read_initial_version()),
            asyncio.create_task(self._store_source.run()),
        ]

    async def stop(self) -> None:
        """End all tasks."""
        self._peer_source.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _emit_version(self) -> None:
        self._events.emit(
            event=Event.CONFIGURATION_IN_FORCE, version=self._in_force.version
        )

    async def _read_initial_version(self) -> None:
        """Read until there is a version with which this instance may serve.

        Without the store, a peer of each region must have answered, and the
        version in force must be the highest one reported.
        """
        while not self._has_initial_version:
            result = await self._store_source.refresh()
            if result.is_ok():
                self._has_initial_version = True
                return
            # The store does not answer, so the missing versions are requested
            # from one peer of each region.
            for peers in self._peers_by_region().values():
                self._peer_source.request_missing(peer=self._rng.choice(peers))
            await asyncio.sleep(INITIAL_READ_RETRY_S)
            self._has_initial_version = self._regions_have_answered()

    def _peers_by_region(self) -> dict[str, list[str]]:
        regions: dict[str, list[str]] = {}
        for peer in self._membership.live:
            if peer != self._membership.own:
                regions.setdefault(peer.zone.region, []).append(
                    peer.instance_id
                )
        return regions

    def _regions_have_answered(self) -> bool:
        answered_versions = self._peer_source.answered_versions
        regions = self._peers_by_region()
        return (
            self._membership.has_joined
            and bool(regions)
            and all(
                any(peer in answered_versions for peer in peers)
                for peers in regions.values()
            )
            and self._in_force.version > 0
            and self._in_force.version >= self._peer_source.highest_reported
        )
