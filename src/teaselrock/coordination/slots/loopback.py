"""Peer messages of the slots, with local delivery to the own instance.

An instance is often the allocator of its own zone. Messages to itself need no
link and do not count in the control budget.
"""

import asyncio
from typing import NamedTuple

from teaselrock.coordination.ports import MessageHandler
from teaselrock.coordination.ports import Peers


class LoopbackPeers:
    """`Peers` that delivers messages to the own instance locally."""

    def __init__(self, *, own_id: str, peers: Peers) -> None:
        self._own_id = own_id
        self._peers = peers
        self._handlers: dict[type, MessageHandler] = {}

    @property
    def own_id(self) -> str:
        """Id of the own instance."""
        return self._own_id

    def send(self, *, to: str, message: NamedTuple) -> bool:
        """Send to a peer, or deliver locally; False if not accepted."""
        if to != self._own_id:
            return self._peers.send(to=to, message=message)
        asyncio.get_running_loop().call_soon(self._deliver, message)
        return True

    def register_handler(
        self, *, message_type: type, handler: MessageHandler
    ) -> None:
        """Register the handler of a message type."""
        self._handlers[message_type] = handler
        self._peers.register_handler(
            message_type=message_type, handler=handler
        )

    def _deliver(self, message: NamedTuple) -> None:
        self._handlers[type(message)](sender=self._own_id, message=message)
