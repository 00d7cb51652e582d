"""Confirms that failed members are gone, and removes them from the roster.

The units of a removed member may be lent by others, so a member behind a
network partition must stay in the roster: removal needs the platform list,
or a strict majority of the member's region for 10 s.
"""

import asyncio
from typing import Final

from teaselrock.coordination import rendezvous
from teaselrock.coordination.membership.detector import PING_INTERVAL_S
from teaselrock.coordination.membership.messages import MemberState
from teaselrock.coordination.membership.table import Member
from teaselrock.coordination.membership.table import MemberTable
from teaselrock.coordination.peers import PeerHub
from teaselrock.coordination.ports import PlatformList
from teaselrock.coordination.ports import Store

POLL_S: Final = 5.0
CHECK_S: Final = 1.0
MAJORITY_S: Final = 10.0
# Every member is heard directly about once in a round of pings; two rounds
# without a message mean that it does not count for a majority.
HEARD_ROUNDS: Final = 2
HEARD_MIN_S: Final = 3.0
# The list lags: a member that was never listed may be a new one.
LIST_LAG_S: Final = 60.0
# Records of members that are gone are kept against late updates.
KEEP_GONE_S: Final = 600.0


class RosterKeeper:
    """Removes members from the roster of a table."""

    def __init__(
        self,
        *,
        table: MemberTable,
        hub: PeerHub,
        platform: PlatformList,
        store: Store,
    ) -> None:
        self._table = table
        self._hub = hub
        self._platform = platform
        self._store = store
        self._listed: set[str] = set()
        self._majority_since: dict[str, float] = {}

    async def poll_platform(self) -> None:
        """Read the platform list slowly, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            result = await self._platform.gateway_ids()
            if result.is_ok():
                self._listed |= result.ok
                for member in self._failed():
                    name = member.record.instance.instance_id
                    known_s = loop.time() - member.first_seen
                    if name not in result.ok and (
                        name in self._listed or known_s > LIST_LAG_S
                    ):
                        await self._remove(name)
            await asyncio.sleep(POLL_S)

    async def check_majorities(self) -> None:
        """Watch for lasting majorities, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            failed = {
                member.record.instance.instance_id: member
                for member in self._failed()
            }
            for name in self._majority_since.keys() - failed.keys():
                del self._majority_since[name]
            due = []
            for name, member in failed.items():
                if not self._has_majority(member):
                    self._majority_since.pop(name, None)
                    continue
                since = self._majority_since.setdefault(name, now)
                lasting_s = max(MAJORITY_S, self._heard_window())
                if now - max(since, member.changed_at) >= lasting_s:
                    due.append(name)
            for name in due:
                await self._remove(name)
            self._forget_old(now)
            await asyncio.sleep(CHECK_S)

    def _failed(self) -> list[Member]:
        return [
            member
            for member in self._table.members
            if member.record.state is MemberState.FAILED and not member.is_gone
        ]

    def _heard_window(self) -> float:
        """Seconds for which a direct message proves contact."""
        round_s = PING_INTERVAL_S * len(self._table.live)
        return max(HEARD_MIN_S, HEARD_ROUNDS * round_s)

    def _has_majority(self, member: Member) -> bool:
        """Whether most of the member's region is in contact now.

        The live view alone lags, most of all on the small side of a network
        partition, so only members that were heard directly count.
        """
        region = member.record.instance.zone.region
        oldest = asyncio.get_running_loop().time() - self._heard_window()
        in_contact = 0
        for peer in self._table.live:
            other = self._table.get(peer.instance_id)
            if other is not None and peer.zone.region == region:
                in_contact += peer == self._table.own or (
                    other.heard_at is not None and other.heard_at >= oldest
                )
        total = sum(peer.zone.region == region for peer in self._table.roster)
        return 2 * in_contact > total

    async def _remove(self, name: str) -> None:
        member = self._table.get(name)
        if member is None or member.record.state is not MemberState.FAILED:
            return
        self._table.set_gone(name)
        self._hub.disconnect(instance_id=name)
        live = [peer.instance_id for peer in self._table.live]
        if rendezvous.owner(key=name, members=live) == (
            self._table.own.instance_id
        ):
            # The stale seed stays if the store is down; it does no harm.
            await self._store.delete(
                key=f'members/{name}', expected_version=None
            )

    def _forget_old(self, now: float) -> None:
        for member in self._table.members:
            if member.is_gone and now - member.changed_at > KEEP_GONE_S:
                name = member.record.instance.instance_id
                self._hub.disconnect(instance_id=name)
                self._table.forget(name)
