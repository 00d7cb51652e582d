"""Removes failed members from the roster, once their end is confirmed.

Other instances may lend the slot and rate units of a removed member, so a
member behind a network partition must stay in the roster. A removal needs the
platform list, or contact with a strict majority of the member's region for
10 s.
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

POLL_INTERVAL_S: Final = 5.0
CHECK_INTERVAL_S: Final = 1.0
MAJORITY_DURATION_S: Final = 10.0
# A member sends a direct message about once in a round of pings. After two
# rounds without one it does not count for a majority.
CONTACT_ROUNDS: Final = 2
MIN_CONTACT_WINDOW_S: Final = 3.0
# The platform list lags, so a member that was never listed may be new. It is
# removed only after it has been recorded for this long.
PLATFORM_LIST_LAG_S: Final = 60.0
# Records of removed members are kept this long, so that late updates do not
# add them again.
REMOVED_RETENTION_S: Final = 600.0


class RosterPruner:
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
        """Remove members by the platform list, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            result = await self._platform.instance_ids()
            if result.is_ok():
                self._listed |= result.ok
                for member in self._failed():
                    instance_id = member.record.instance.instance_id
                    recorded_s = loop.time() - member.recorded_at
                    if instance_id not in result.ok and (
                        instance_id in self._listed
                        or recorded_s > PLATFORM_LIST_LAG_S
                    ):
                        await self._remove(instance_id)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def check_majorities(self) -> None:
        """Remove members by lasting majorities, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            failed = {
                member.record.instance.instance_id: member
                for member in self._failed()
            }
            for instance_id in self._majority_since.keys() - failed.keys():
                del self._majority_since[instance_id]
            confirmed = []
            for instance_id, member in failed.items():
                if not self._has_majority(member):
                    self._majority_since.pop(instance_id, None)
                    continue
                majority_since = self._majority_since.setdefault(
                    instance_id, now
                )
                required_s = max(MAJORITY_DURATION_S, self._contact_window_s())
                if now - max(majority_since, member.changed_at) >= required_s:
                    confirmed.append(instance_id)
            for instance_id in confirmed:
                await self._remove(instance_id)
            self._drop_old_records(now)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _failed(self) -> list[Member]:
        return [
            member
            for member in self._table.members
            if member.record.state is MemberState.FAILED
            and not member.is_removed
        ]

    def _contact_window_s(self) -> float:
        """Maximum age of a direct message that counts as contact."""
        round_s = PING_INTERVAL_S * len(self._table.live)
        return max(MIN_CONTACT_WINDOW_S, CONTACT_ROUNDS * round_s)

    def _has_majority(self, member: Member) -> bool:
        """Whether a strict majority of the member's region is in contact.

        The live view lags, mostly in the smaller part of a network partition,
        so only members with a recent direct message count.
        """
        region = member.record.instance.zone.region
        contact_since = (
            asyncio.get_running_loop().time() - self._contact_window_s()
        )
        contact_count = 0
        for peer in self._table.live:
            other = self._table.get(peer.instance_id)
            if other is not None and peer.zone.region == region:
                contact_count += peer == self._table.own or (
                    other.last_message_at is not None
                    and other.last_message_at >= contact_since
                )
        total = sum(peer.zone.region == region for peer in self._table.roster)
        return 2 * contact_count > total

    async def _remove(self, instance_id: str) -> None:
        member = self._table.get(instance_id)
        if member is None or member.record.state is not MemberState.FAILED:
            return
        self._table.mark_removed(instance_id)
        self._hub.disconnect(instance_id=instance_id)
        live = [peer.instance_id for peer in self._table.live]
        if rendezvous.owner(key=instance_id, members=live) == (
            self._table.own.instance_id
        ):
            # If this fails, a stale seed stays in the store, which costs only
            # joins that are not answered.
            await self._store.delete(
                key=f'members/{instance_id}', expected_version=None
            )

    def _drop_old_records(self, now: float) -> None:
        for member in self._table.members:
            if (
                member.is_removed
                and now - member.changed_at > REMOVED_RETENTION_S
            ):
                instance_id = member.record.instance.instance_id
                self._hub.disconnect(instance_id=instance_id)
                self._table.drop_record(instance_id)
