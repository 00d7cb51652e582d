"""Rate limits of the plans: borrows shares from the owners of the rates.

Each rate in use has one task, which requests a share from the rate's owner at
intervals until the rate is idle. Requests of other borrowers are passed to the
`RateOwner` of this instance. `PlanAllowances` uses this module.
"""

import asyncio
from typing import Final

from teaselrock.coordination.allowances.messages import RateGrant
from teaselrock.coordination.allowances.messages import RateRequest
from teaselrock.coordination.allowances.messages import RateReturn
from teaselrock.coordination.allowances.rate_owner import owner_of
from teaselrock.coordination.allowances.rate_owner import RateKey
from teaselrock.coordination.allowances.rate_owner import RateOwner
from teaselrock.coordination.allowances.rate_share import RateShare
from teaselrock.coordination.allowances.rate_share import RENEW_INTERVAL_S
from teaselrock.coordination.ports import Directory
from teaselrock.coordination.ports import MemberView
from teaselrock.coordination.ports import Peers
from teaselrock.state.configuration import AllowanceEntry
from teaselrock.state.configuration import CustomerEntry
from teaselrock.state.configuration import Document

REFRESH_INTERVAL_S: Final = 0.25
# A share request without a grant is repeated once after this time.
REPEAT_DELAY_S: Final = 0.1


def find_allowance(
    *, document: Document, customer: str, service: str
) -> AllowanceEntry | None:
    """The plan's entry for a service, None if there is none."""
    entry = document['customers'].get(customer)
    if entry is None:
        return None
    for allowance in document['plans'][entry['plan']]['allow']:
        if allowance['service'] == service:
            return allowance
    return None


class RateLimits:
    """Rate shares that this instance borrows and lends."""

    def __init__(
        self, *, view: MemberView, peers: Peers, directory: Directory
    ) -> None:
        self._view = view
        self._peers = peers
        self._directory = directory
        self._owner = RateOwner(view=view)
        self._shares: dict[RateKey, RateShare] = {}
        self._tasks: dict[RateKey, asyncio.Task[None]] = {}
        self._refresh_task: asyncio.Task[None] | None = None
        self._last_number = 0
        self._last_requests: dict[RateKey, tuple[int, float]] = {}
        self._granted_keys: set[RateKey] = set()
        peers.register_handler(
            message_type=RateRequest, handler=self._on_request
        )
        peers.register_handler(message_type=RateGrant, handler=self._on_grant)
        peers.register_handler(
            message_type=RateReturn, handler=self._on_return
        )

    def start(self) -> None:
        """Start the task that follows the member view."""
        self._refresh_task = asyncio.create_task(self._refresh())

    async def stop(self) -> None:
        """End the tasks, then return all shares."""
        tasks = [*self._tasks.values()]
        if self._refresh_task is not None:
            tasks.append(self._refresh_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for key, share in self._shares.items():
            share.drop()
            self._return_share(key)
        self._shares.clear()

    async def take(
        self, *, key: RateKey, units: int, deadline: float
    ) -> float | None:
        """Take tokens; returns None, or seconds to retry after on failure."""
        share = self._shares.get(key)
        if share is None:
            share = RateShare()
            self._shares[key] = share
        token_wait = share.take(units=units, deadline=deadline)
        if key not in self._tasks:
            self._tasks[key] = asyncio.create_task(self._renew(key, share))
        return await token_wait

    def refund(self, *, key: RateKey, units: int) -> None:
        """Return the tokens of a request that did not run."""
        share = self._shares.get(key)
        if share is not None:
            share.refund(units=units)

    async def _refresh(self) -> None:
        while True:
            self._owner.refresh()
            await asyncio.sleep(REFRESH_INTERVAL_S)

    async def _renew(self, key: RateKey, share: RateShare) -> None:
        """Renew a share until it is idle, then return it."""
        try:
            # Yield once, so that the demand includes the request that started
            # this task.
            await asyncio.sleep(0)
            while not share.is_idle:
                demand = share.demand()
                self._request_share(key, demand)
                await asyncio.sleep(REPEAT_DELAY_S)
                if key not in self._granted_keys:
                    self._request_share(key, demand)
                await asyncio.sleep(RENEW_INTERVAL_S - REPEAT_DELAY_S)
        finally:
            del self._tasks[key]
        share.drop()
        self._return_share(key)
        del self._shares[key]

    def _customer(self, key: RateKey) -> CustomerEntry | None:
        return self._directory.document['customers'].get(key[0])

    def _rate(self, key: RateKey) -> float:
        allowance = find_allowance(
            document=self._directory.document, customer=key[0], service=key[1]
        )
        if allowance is None:
            return 0.0
        return allowance.get('rate_per_second', 0.0)

    def _request_share(self, key: RateKey, demand: float) -> None:
        customer = self._customer(key)
        if customer is None:
            return
        owner = owner_of(customer=customer, key=key, members=self._view.live)
        if owner is None:
            return
        self._last_number += 1
        self._granted_keys.discard(key)
        self._last_requests[key] = (
            self._last_number,
            asyncio.get_running_loop().time(),
        )
        message = RateRequest(self._last_number, *key, demand)
        if owner == self._view.own.instance_id:
            self._on_request(sender=owner, message=message)
        else:
            self._peers.send(to=owner, message=message)

    def _on_request(self, *, sender: str, message: RateRequest) -> None:
        key = (message.customer, message.service)
        customer = self._customer(key)
        rate = self._rate(key)
        if customer is None or rate <= 0:
            return
        parts = self._owner.lend(
            borrower=sender,
            number=message.number,
            key=key,
            customer=customer,
            demand=message.demand,
            rate=rate,
        )
        if parts is None:
            return
        grant = RateGrant(message.number, *key, parts)
        if sender == self._view.own.instance_id:
            self._on_grant(sender=sender, message=grant)
        else:
            self._peers.send(to=sender, message=grant)

    def _on_grant(self, *, sender: str, message: RateGrant) -> None:
        """Apply a grant if it answers the newest request; drop older ones."""
        key = (message.customer, message.service)
        number, requested_at = self._last_requests.get(key, (0, 0.0))
        share = self._shares.get(key)
        if share is not None and number == message.number:
            self._granted_keys.add(key)
            share.grant(
                parts=message.parts,
                rate=self._rate(key),
                requested_at=requested_at,
            )

    def _return_share(self, key: RateKey) -> None:
        customer = self._customer(key)
        number, _ = self._last_requests.pop(key, (0, 0.0))
        if customer is None or not number:
            return
        owner = owner_of(customer=customer, key=key, members=self._view.live)
        message = RateReturn(number, *key)
        if owner == self._view.own.instance_id:
            self._on_return(sender=owner, message=message)
        elif owner is not None:
            self._peers.send(to=owner, message=message)

    def _on_return(self, *, sender: str, message: RateReturn) -> None:
        self._owner.remove_lent_shares(
            borrower=sender,
            number=message.number,
            key=(message.customer, message.service),
        )
