"""Dissemination of the configuration among peers, by push and pull.

A new version is pushed to a few random peers, each of which forwards it
once. Pings contain the sender's version, so an instance that missed the push
pulls from a peer with a higher version.
"""

import asyncio
import math
import random
from typing import Final

from teaselrock.coordination.dissemination.in_force import ConfigurationInForce
from teaselrock.coordination.dissemination.messages import ConfigDelta
from teaselrock.coordination.dissemination.messages import ConfigDocumentPart
from teaselrock.coordination.dissemination.messages import ConfigRequest
from teaselrock.coordination.membership import MemberStatus
from teaselrock.coordination.peers import PeerHub
from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import MemberView
from teaselrock.state.configuration import Delta
from teaselrock.state.configuration import Document

# Random peers that each instance sends a new version to.
PUSH_FANOUT: Final = 4
REPLY_TIMEOUT_S: Final = 0.15
# Sends of one request to a peer, since messages may be lost.
MAX_ATTEMPTS: Final = 3
# If the missing deltas are larger, the document is sent in parts instead.
MAX_DELTAS_BYTES: Final = 16_384
DOCUMENT_PART_BYTES: Final = 16_384

_Reply = ConfigDelta | ConfigDocumentPart


class PeerSource:
    """Exchanges versions of a `ConfigurationInForce` with peers."""

    def __init__(
        self,
        *,
        in_force: ConfigurationInForce,
        hub: PeerHub,
        view: MemberView,
        codec: DocumentCodec,
        rng: random.Random,
    ) -> None:
        self._in_force = in_force
        self._hub = hub
        self._view = view
        self._codec = codec
        self._rng = rng
        self._highest_reported = 0
        self._answered_versions: dict[str, int] = {}
        self._encoded_document: tuple[int, bytes] = (0, b'')
        self._pending_reply: tuple[str, asyncio.Future[_Reply]] | None = None
        self._pull: asyncio.Task[None] | None = None
        in_force.on_advance(self._push_to_peers)
        hub.register_handler(message_type=ConfigDelta, handler=self._on_delta)
        hub.register_handler(
            message_type=ConfigRequest, handler=self._on_request
        )
        hub.register_handler(
            message_type=ConfigDocumentPart, handler=self._on_document_part
        )

    @property
    def highest_reported(self) -> int:
        """The highest version that any peer has reported."""
        return self._highest_reported

    @property
    def answered_versions(self) -> dict[str, int]:
        """Version in the latest delta or document part, by peer."""
        return dict(self._answered_versions)

    def request_missing(self, *, peer: str) -> None:
        """Request missing versions from a peer, without waiting."""
        self._hub.send(to=peer, message=ConfigRequest(self._in_force.version))

    def stop(self) -> None:
        """Cancel a pull in progress."""
        if self._pull is not None:
            self._pull.cancel()

    def on_status(self, *, sender: str, status: MemberStatus) -> None:
        """Pull from a peer with a higher version.

        A peer with a lower version pulls from this instance.
        """
        self._on_peer_version(sender, status.version)

    def _on_peer_version(self, sender: str, version: int) -> None:
        if not self._hub.is_connected(sender):
            # An operator's command or an instance that is joining; neither can
            # be sent a request.
            return
        self._highest_reported = max(self._highest_reported, version)
        is_pulling = self._pull is not None and not self._pull.done()
        if version > self._in_force.version and not is_pulling:
            self._pull = asyncio.create_task(self._pull_from(sender))

    def _push_to_peers(self) -> None:
        """Send the newest two deltas to a few peers, once for each version."""
        own = self._view.own.instance_id
        others = [
            peer.instance_id
            for peer in self._view.live
            if peer.instance_id != own
        ]
        message = ConfigDelta(
            self._in_force.version,
            self._if_small(
                self._in_force.since(max(0, self._in_force.version - 2))
            ),
        )
        for peer in self._rng.sample(others, min(PUSH_FANOUT, len(others))):
            self._hub.send(to=peer, message=message)

    def _if_small(self, deltas: tuple[Delta, ...] | None) -> tuple[Delta, ...]:
        """The deltas if they fit into one message, else none."""
        if deltas is None:
            return ()
        size = len(self._codec.encode(value=deltas))
        return deltas if size <= MAX_DELTAS_BYTES else ()

    async def _pull_from(self, peer: str) -> None:
        own_version = self._in_force.version
        reply = await self._request(peer, ConfigRequest(own_version))
        if not isinstance(reply, ConfigDocumentPart):
            return
        parts = [reply.data]
        while len(parts) < reply.part_count:
            request = ConfigRequest(own_version, reply.version, len(parts))
            part = await self._request(peer, request)
            if (
                not isinstance(part, ConfigDocumentPart)
                or part.version != reply.version
                or part.part != len(parts)
            ):
                # The peer has a newer version or does not answer; the next
                # ping with a higher version starts a new pull.
                return
            parts.append(part.data)
        decoded = self._codec.decode(data=b''.join(parts), value_type=Document)
        if decoded.is_ok():
            self._in_force.apply_document(
                version=reply.version, document=decoded.ok
            )

    async def _request(
        self, peer: str, request: ConfigRequest
    ) -> _Reply | None:
        for _ in range(MAX_ATTEMPTS):
            reply: asyncio.Future[_Reply] = (
                asyncio.get_running_loop().create_future()
            )
            self._pending_reply = (peer, reply)
            self._hub.send(to=peer, message=request)
            await asyncio.wait((reply,), timeout=REPLY_TIMEOUT_S)
            self._pending_reply = None
            if reply.done():
                return reply.result()
        return None

    def _on_request(self, *, sender: str, message: ConfigRequest) -> None:
        in_force = self._in_force
        if message.after >= in_force.version:
            self._hub.send(
                to=sender, message=ConfigDelta(in_force.version, ())
            )
            return
        if message.version == 0:
            deltas = self._if_small(in_force.since(message.after))
            if deltas:
                self._hub.send(
                    to=sender, message=ConfigDelta(in_force.version, deltas)
                )
                return
        if self._encoded_document[0] != in_force.version:
            data = self._codec.encode(value=in_force.document)
            self._encoded_document = (in_force.version, data)
        data = self._encoded_document[1]
        start = message.part * DOCUMENT_PART_BYTES
        reply = ConfigDocumentPart(
            in_force.version,
            message.part,
            math.ceil(len(data) / DOCUMENT_PART_BYTES),
            data[start : start + DOCUMENT_PART_BYTES],
        )
        self._hub.send(to=sender, message=reply)

    def _on_delta(self, *, sender: str, message: ConfigDelta) -> None:
        self._answered_versions[sender] = message.version
        self._in_force.apply_deltas(message.deltas)
        self._resolve(sender, message)
        self._on_peer_version(sender, message.version)

    def _on_document_part(
        self, *, sender: str, message: ConfigDocumentPart
    ) -> None:
        self._answered_versions[sender] = message.version
        self._resolve(sender, message)
        self._on_peer_version(sender, message.version)

    def _resolve(self, sender: str, message: _Reply) -> None:
        if self._pending_reply is None:
            return
        peer, reply = self._pending_reply
        if peer == sender and not reply.done():
            reply.set_result(message)
