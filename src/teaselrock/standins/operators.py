"""Operator of a fleet, who writes configurations to the store.

It uses `ConfigurationAdmin` as the command line does, with its own client of
the store and its own peer link.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Final

from teaselrock.coordination.configuration_admin import ConfigurationAdmin
from teaselrock.coordination.dissemination import ConfigDelta
from teaselrock.protocol.document_codec import JsonDocumentCodec
from teaselrock.standins.network import MemoryNetwork
from teaselrock.standins.store import MemoryStore
from teaselrock.standins.store import StoreModel
from teaselrock.state import AvailabilityZone
from teaselrock.state import Instance
from teaselrock.state.configuration import Document

RETRY_INTERVAL_S: Final = 0.5
# Number of instances to which an accepted change is sent.
ANNOUNCE_TARGETS: Final = 4
OPERATOR_ID: Final = 'operator'


class Announcer:
    """Sends accepted changes to some instances over a peer link.

    The command line does the same, authenticated with the fleet's key.
    """

    def __init__(
        self,
        *,
        network: MemoryNetwork,
        zone: AvailabilityZone,
        instances: Callable[[], Sequence[Instance]],
        rng: random.Random,
    ) -> None:
        self._link = network.link(own=Instance(OPERATOR_ID, zone, OPERATOR_ID))
        self._instances = instances
        self._rng = rng

    def announce(self, message: ConfigDelta) -> None:
        """Send to `ANNOUNCE_TARGETS` random instances, without waiting."""
        instances = self._instances()
        count = min(ANNOUNCE_TARGETS, len(instances))
        for peer in self._rng.sample(instances, count):
            self._link.connect(peer=peer)
            self._link.send(to=peer.instance_id, message=message)


class Operator:
    """Retries a change until the store has accepted it."""

    def __init__(
        self, *, store: StoreModel, announcer: Announcer, rng: random.Random
    ) -> None:
        self._admin = ConfigurationAdmin(
            store=MemoryStore(model=store),
            codec=JsonDocumentCodec(),
            rng=rng,
            announce=announcer.announce,
        )

    async def apply_document(self, document: Document) -> int:
        """Make `document` the newest version; returns the version number."""
        while True:
            current = await self._admin.current()
            if current.is_ok():
                accepted = await self._admin.apply_document(
                    base=current.ok, document=document
                )
                if accepted.is_ok():
                    return accepted.ok.version
            await asyncio.sleep(RETRY_INTERVAL_S)
