"""Rates of the plans: borrows shares from their owners and renews them.

`StoreAllowances` uses it. Each rate in use has one task, which asks the
rate's owner for a share every `RENEW_S` until the rate is not used.
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
from teaselrock.coordination.allowances.rate_share import RENEW_S
from teaselrock.coordination.ports import Directory
from teaselrock.coordination.ports import MemberView
from teaselrock.coordination.ports import Peers
from teaselrock.state.configuration import AllowanceEntry
from teaselrock.state.configuration import CustomerEntry
from teaselrock.state.configuration import Document

REFRESH_S: Final = 0.25
# A request without a grant is repeated once after this time.
REPEAT_S: Final = 0.1


def allowance_of(
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


class Rates:
    """Shares that this instance borrows and lends."""

    def __init__(
        self, *, view: MemberView, peers: Peers, directory: Directory
    ) -> None:
        self._view = view
        self._peers = peers
        self._directory = directory
        self._owner = RateOwner(view=view)
        self._shares: dict[RateKey, RateShare] = {}
        self._tasks: dict[RateKey, asyncio.Task[None]] = {}
        self._refresher: asyncio.Task[None] | None = None
        self._number = 0
        self._asked: dict[RateKey, tuple[int, float]] = {}
        self._granted: set[RateKey] = set()
        peers.register_handler(
            message_type=RateRequest, handler=self._on_request
        )
        peers.register_handler(message_type=RateGrant, handler=self._on_grant)
        peers.register_handler(
            message_type=RateReturn, handler=self._on_return
        )

    def start(self) -> None:
        """Start to follow the member view."""
        self._refresher = asyncio.create_task(self._refresh())

    async def stop(self) -> None:
        """Return the shares and end the tasks."""
        tasks = [*self._tasks.values()]
        if self._refresher is not None:
            tasks.append(self._refresher)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for key, share in self._shares.items():
            share.cancel()
            self._return(key)
        self._shares.clear()

    async def take(
        self, *, key: RateKey, units: int, deadline: float
    ) -> float | None:
        """Take tokens; returns seconds to retry after if there are none."""
        share = self._shares.get(key)
        if share is None:
            share = RateShare()
            self._shares[key] = share
        taking = share.take(units=units, deadline=deadline)
        if key not in self._tasks:
            self._tasks[key] = asyncio.create_task(self._renew(key, share))
        return await taking

    def give_back(self, *, key: RateKey, units: int) -> None:
        """Put tokens of a request that did not run back."""
        share = self._shares.get(key)
        if share is not None:
            share.give_back(units=units)

    async def _refresh(self) -> None:
        while True:
            self._owner.refresh()
            await asyncio.sleep(REFRESH_S)

    async def _renew(self, key: RateKey, share: RateShare) -> None:
        """Renew a share until it is idle."""
        try:
            # The request that started the task counts in the demand.
            await asyncio.sleep(0)
            while not share.is_idle:
                demand = share.demand()
                self._ask(key, demand)
                await asyncio.sleep(REPEAT_S)
                if key not in self._granted:
                    self._ask(key, demand)
                await asyncio.sleep(RENEW_S - REPEAT_S)
        finally:
            del self._tasks[key]
        share.cancel()
        self._return(key)
        del self._shares[key]

    def _customer(self, key: RateKey) -> CustomerEntry | None:
        return self._directory.document['customers'].get(key[0])

    def _rate(self, key: RateKey) -> float:
        allowance = allowance_of(
            document=self._directory.document, customer=key[0], service=key[1]
        )
        if allowance is None:
            return 0.0
        return allowance.get('rate_per_second', 0.0)

    def _ask(self, key: RateKey, demand: float) -> None:
        customer = self._customer(key)
        if customer is None:
            return
        owner = owner_of(customer=customer, key=key, members=self._view.live)
        if owner is None:
            return
        self._number += 1
        self._granted.discard(key)
        self._asked[key] = (
            self._number,
            asyncio.get_running_loop().time(),
        )
        message = RateRequest(self._number, *key, demand)
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
        units = self._owner.lend(
            borrower=sender,
            number=message.number,
            key=key,
            customer=customer,
            demand=message.demand,
            rate=rate,
        )
        if units is None:
            return
        grant = RateGrant(message.number, *key, units)
        if sender == self._view.own.instance_id:
            self._on_grant(sender=sender, message=grant)
        else:
            self._peers.send(to=sender, message=grant)

    def _on_grant(self, *, sender: str, message: RateGrant) -> None:
        """Take a grant of the newest request; older ones are replaced."""
        key = (message.customer, message.service)
        number, asked_at = self._asked.get(key, (0, 0.0))
        share = self._shares.get(key)
        if share is not None and number == message.number:
            self._granted.add(key)
            share.grant(
                units=message.units, rate=self._rate(key), asked_at=asked_at
            )

    def _return(self, key: RateKey) -> None:
        customer = self._customer(key)
        number, _ = self._asked.pop(key, (0, 0.0))
        if customer is None or not number:
            return
        owner = owner_of(customer=customer, key=key, members=self._view.live)
        message = RateReturn(number, *key)
        if owner == self._view.own.instance_id:
            self._on_return(sender=owner, message=message)
        elif owner is not None:
            self._peers.send(to=owner, message=message)

    def _on_return(self, *, sender: str, message: RateReturn) -> None:
        self._owner.take_back(
            borrower=sender,
            number=message.number,
            key=(message.customer, message.service),
        )
