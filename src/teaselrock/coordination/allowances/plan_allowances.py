"""`Allowances` that enforces the rates and amounts of the plans.

A request takes tokens of the customer's rate, then units of the amount. Only
the amounts are in the store: rates are shared through peer messages. A
customer without limits causes neither messages nor store calls.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Final

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.allowances.amounts import Amount
from teaselrock.coordination.allowances.amounts import AmountCharge
from teaselrock.coordination.allowances.amounts import DrawResult
from teaselrock.coordination.allowances.rate_limits import find_allowance
from teaselrock.coordination.allowances.rate_limits import RateLimits
from teaselrock.coordination.allowances.rate_owner import RateKey
from teaselrock.coordination.events import Event
from teaselrock.coordination.events import Events
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.ports import Charge
from teaselrock.coordination.ports import Directory
from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import MemberView
from teaselrock.coordination.ports import Peers
from teaselrock.coordination.ports import Store
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict

DEFAULT_WINDOW: Final = 'month'
# Longest wait for a draw from the store before a request is refused.
MAX_AMOUNT_WAIT_S: Final = 2.0
RETRY_AFTER_S: Final = 1.0


class PlanCharge:
    """The rate tokens and amount units that a request has taken."""

    def __init__(
        self,
        *,
        rates: RateLimits | None,
        key: RateKey,
        units: int,
        amount: AmountCharge | None,
    ) -> None:
        self._rates = rates
        self._key = key
        self._units = units
        self._amount = amount

    def refund(self) -> None:
        """Return rate tokens and amount units; further calls do nothing."""
        if self._rates is not None:
            self._rates.refund(key=self._key, units=self._units)
            self._rates = None
        if self._amount is not None:
            self._amount.refund()
            self._amount = None


def _refusal(code: RefusalCode, detail: str, retry_after: float) -> Refusal:
    return Refusal(code, Verdict.DID_NOT_RUN, detail, retry_after=retry_after)


class PlanAllowances:
    """Charges requests of one instance to the plans of their customers."""

    def __init__(
        self,
        *,
        view: MemberView,
        peers: Peers,
        store: Store,
        codec: DocumentCodec,
        directory: Directory,
        wall_clock: Callable[[], float],
        rng: random.Random,
        events: Events = NoEvents(),
    ) -> None:
        self._events = events
        self._store = store
        self._codec = codec
        self._directory = directory
        self._wall_clock = wall_clock
        self._rng = rng
        self._rates = RateLimits(view=view, peers=peers, directory=directory)
        self._amounts: dict[RateKey, Amount] = {}

    def start(self) -> None:
        """Start the task that follows the member view."""
        self._rates.start()

    async def stop(self) -> None:
        """Return rate shares and unspent amounts, on a planned stop."""
        await self._rates.stop()
        await asyncio.gather(
            *(amount.return_unspent() for amount in self._amounts.values())
        )

    async def charge(self, *, request: Request) -> Result[Charge, Refusal]:
        """Take the request's units from the rate and the amount of its plan.

        If the amount refuses them, the rate tokens are returned.
        """
        key = (request.customer, request.service)
        allowance = find_allowance(
            document=self._directory.document, customer=key[0], service=key[1]
        )
        has_rate = allowance is not None and 'rate_per_second' in allowance
        plan_units = allowance and allowance.get('units_per_window')
        if has_rate:
            retry_after = await self._rates.take(
                key=key, units=request.units, deadline=request.deadline
            )
            if retry_after is not None:
                return Error(
                    _refusal(
                        RefusalCode.RATE_EXCEEDED,
                        f'the rate limit of the plan of {key[0]} for'
                        f' {key[1]} is exceeded',
                        retry_after,
                    )
                )
        amount_charge = None
        if allowance is not None and plan_units is not None:
            amount = await self._charge_amount(
                request, plan_units, allowance.get('window', DEFAULT_WINDOW)
            )
            if amount.is_error():
                if has_rate:
                    self._rates.refund(key=key, units=request.units)
                return Error(amount.error)
            amount_charge = amount.ok
        return Ok(
            PlanCharge(
                rates=self._rates if has_rate else None,
                key=key,
                units=request.units,
                amount=amount_charge,
            )
        )

    async def _charge_amount(
        self, request: Request, plan_units: int, window_kind: str
    ) -> Result[AmountCharge, Refusal]:
        key = (request.customer, request.service)
        amount = self._amounts.get(key)
        if amount is None:
            amount = Amount(
                customer=key[0],
                service=key[1],
                store=self._store,
                codec=self._codec,
                wall_clock=self._wall_clock,
                rng=self._rng,
            )
            self._amounts[key] = amount
        now = asyncio.get_running_loop().time()
        charged = await amount.charge(
            units=request.units,
            plan_units=plan_units,
            window_kind=window_kind,
            deadline=min(request.deadline, now + MAX_AMOUNT_WAIT_S),
        )
        if charged.is_ok():
            return Ok(charged.ok)
        is_exhausted = charged.error is DrawResult.EXHAUSTED
        self._events.emit(
            event=Event.AMOUNT_EXHAUSTED
            if is_exhausted
            else Event.ALLOWANCE_UNAVAILABLE,
            customer=key[0],
            service=key[1],
        )
        if is_exhausted:
            return Error(
                _refusal(
                    RefusalCode.AMOUNT_EXCEEDED,
                    f'the amount of the plan of {key[0]} for {key[1]},'
                    f' {plan_units} units per {window_kind}, is exhausted',
                    amount.retry_after(),
                )
            )
        return Error(
            _refusal(
                RefusalCode.ALLOWANCE_UNAVAILABLE,
                f'the amount of the plan of {key[0]} for {key[1]} could not be'
                ' charged in the store',
                RETRY_AFTER_S,
            )
        )
