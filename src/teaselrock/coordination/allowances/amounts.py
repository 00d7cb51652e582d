"""One amount of a plan: drawn from a ledger in the store, spent locally.

Units are drawn from the ledger in blocks. `PlanAllowances` keeps one `Amount`
for each customer and service with a limit. The ledger is changed only by
conditional puts, and a draw whose response was lost is found by its id, so the
sum of all draws never exceeds the plan. One draw is in flight at a time.
"""

import asyncio
from collections.abc import Callable
import enum
import random
from typing import Final

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import Store
from teaselrock.coordination.ports import StoreErrorKind
from teaselrock.state.records import add_draw
from teaselrock.state.records import block_size
from teaselrock.state.records import Draw
from teaselrock.state.records import find_draw
from teaselrock.state.records import ledger_key
from teaselrock.state.records import LedgerContent
from teaselrock.state.records import Window
from teaselrock.state.records import window_at

# Time after which a draw or a return of units is not retried.
DRAW_TIMEOUT_S: Final = 4.0
# Delay after a failed store call.
RETRY_DELAY_S: Final = 0.1
# Least time between prefetches, to limit store calls while they fail.
PREFETCH_INTERVAL_S: Final = 1.0
# Time after which an exhausted ledger is read again, since other instances
# return units and the plan may change.
EXHAUSTED_RECHECK_S: Final = 1.0


class DrawResult(enum.StrEnum):
    """Result of waiting for a draw.

    After `DRAW_ENDED` the units may have been drawn for other requests, or a
    draw for another number of units may have failed, so the balance must be
    checked. `EXHAUSTED` means that the ledger has too few units left.
    """

    DRAW_ENDED = 'drawn'
    EXHAUSTED = 'exceeded'
    UNAVAILABLE = 'unavailable'


class _WindowBalance:
    """Units that are drawn from the ledger of one window and not spent.

    Until `exhausted_until`, draws of `exhausted_units` or more are refused.
    """

    def __init__(self, *, window: Window) -> None:
        self.window = window
        self.unspent = 0
        self.unspent_after_draw = 0
        self.exhausted_until = 0.0
        self.exhausted_units = 0


class AmountCharge:
    """Units that a request has taken from a balance."""

    def __init__(self, *, balance: _WindowBalance, units: int) -> None:
        self._balance = balance
        self._units = units

    def refund(self) -> None:
        """Return the units to the balance; further calls do nothing."""
        self._balance.unspent += self._units
        self._units = 0


class Amount:
    """The amount of one customer and service, in the current window."""

    def __init__(
        self,
        *,
        customer: str,
        service: str,
        store: Store,
        codec: DocumentCodec,
        wall_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._customer = customer
        self._service = service
        self._store = store
        self._codec = codec
        self._wall_clock = wall_clock
        self._rng = rng
        self._balance: _WindowBalance | None = None
        self._draw_task: asyncio.Task[DrawResult] | None = None
        self._waiting_units = 0
        self._no_prefetch_until = 0.0

    async def charge(
        self, *, units: int, plan_units: int, window_kind: str, deadline: float
    ) -> Result[AmountCharge, DrawResult]:
        """Take units of the current window of `window_kind`.

        `deadline` is on the loop's clock; if a draw takes longer, the
        result is `UNAVAILABLE`.
        """
        balance = self._current_balance(window_kind)
        while balance.unspent < units:
            self._waiting_units += units
            try:
                async with asyncio.timeout_at(deadline):
                    result = await self._await_draw(balance, units, plan_units)
            except TimeoutError:
                return Error(DrawResult.UNAVAILABLE)
            finally:
                self._waiting_units -= units
            balance = self._current_balance(window_kind)
            if result is not DrawResult.DRAW_ENDED and balance.unspent < units:
                return Error(result)
        balance.unspent -= units
        self._prefetch(balance, plan_units)
        return Ok(AmountCharge(balance=balance, units=units))

    def retry_after(self) -> float:
        """Seconds until the current window ends."""
        if self._balance is None:
            return 0.0
        return max(0.0, self._balance.window.end - self._wall_clock())

    async def return_unspent(self) -> None:
        """Return unspent units; they are lost if the store is unreachable."""
        if self._draw_task is not None and not self._draw_task.done():
            await asyncio.wait({self._draw_task})
        balance = self._balance
        self._balance = None
        if balance is None or balance.unspent == 0:
            return
        unspent, balance.unspent = balance.unspent, 0
        await self._return_units(balance.window, unspent)

    def _current_balance(self, window_kind: str) -> _WindowBalance:
        window = window_at(kind=window_kind, now=self._wall_clock())
        if self._balance is None or self._balance.window != window:
            self._balance = _WindowBalance(window=window)
        return self._balance

    async def _await_draw(
        self, balance: _WindowBalance, units: int, plan_units: int
    ) -> DrawResult:
        """Wait for the draw in flight, or start one and wait for it."""
        now = asyncio.get_running_loop().time()
        if now < balance.exhausted_until and units >= balance.exhausted_units:
            return DrawResult.EXHAUSTED
        if self._draw_task is not None and not self._draw_task.done():
            # Its result may be for another number of units or an earlier
            # window, so the caller must check the balance. Cancelling one
            # waiter must not cancel the draw of the others.
            result = await asyncio.shield(self._draw_task)
            if result is DrawResult.EXHAUSTED:
                return DrawResult.DRAW_ENDED
            return result
        self._draw_task = asyncio.create_task(
            self._draw_units(balance, plan_units, units, self._waiting_units)
        )
        return await asyncio.shield(self._draw_task)

    def _prefetch(self, balance: _WindowBalance, plan_units: int) -> None:
        now = asyncio.get_running_loop().time()
        if (
            balance.unspent * 2 <= balance.unspent_after_draw
            and now >= balance.exhausted_until
            and (self._draw_task is None or self._draw_task.done())
            and now >= self._no_prefetch_until
        ):
            self._no_prefetch_until = now + PREFETCH_INTERVAL_S
            self._draw_task = asyncio.create_task(
                self._draw_units(balance, plan_units, 1, 1)
            )

    async def _draw_units(
        self,
        balance: _WindowBalance,
        plan_units: int,
        min_units: int,
        waiting_units: int,
    ) -> DrawResult:
        """Draw at least `min_units` into the balance, if the plan has them.

        All waiting requests together need `waiting_units`; that many are
        drawn if possible.
        """
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + DRAW_TIMEOUT_S
        draw_id = f'{self._rng.getrandbits(64):016x}'
        while loop.time() < give_up_at:
            read = await self._read_ledger(balance.window)
            if read.is_error():
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            version, content = read.ok
            earlier_draw = find_draw(content=content, draw_id=draw_id)
            if earlier_draw is not None:
                return self._add_units(balance, earlier_draw.units)
            size = block_size(
                content=content, plan_units=plan_units, need=waiting_units
            ) or block_size(
                content=content, plan_units=plan_units, need=min_units
            )
            if size == 0:
                balance.exhausted_until = loop.time() + EXHAUSTED_RECHECK_S
                balance.exhausted_units = min_units
                return DrawResult.EXHAUSTED
            error = await self._put_ledger(
                balance.window, version, content, Draw(draw_id, size)
            )
            if error is None:
                return self._add_units(balance, size)
            if error not in (StoreErrorKind.CONFLICT, StoreErrorKind.UNKNOWN):
                await asyncio.sleep(RETRY_DELAY_S)
        return DrawResult.UNAVAILABLE

    def _add_units(self, balance: _WindowBalance, units: int) -> DrawResult:
        balance.unspent += units
        balance.unspent_after_draw = balance.unspent
        return DrawResult.DRAW_ENDED

    async def _return_units(self, window: Window, units: int) -> None:
        """Return units to the ledger, at most once.

        A put without a response is repeated only while the ledger is at the
        same version, since a put that took effect has changed the version.
        """
        draw = Draw(f'{self._rng.getrandbits(64):016x}', -units)
        give_up_at = asyncio.get_running_loop().time() + DRAW_TIMEOUT_S
        unconfirmed_version: int | None = None
        while asyncio.get_running_loop().time() < give_up_at:
            read = await self._read_ledger(window)
            if read.is_error():
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            version, content = read.ok
            if (
                unconfirmed_version is not None
                and version != unconfirmed_version
            ):
                return
            error = await self._put_ledger(window, version, content, draw)
            if error is None:
                return
            if error is StoreErrorKind.UNKNOWN:
                unconfirmed_version = version
            elif error is not StoreErrorKind.CONFLICT:
                await asyncio.sleep(RETRY_DELAY_S)

    def _ledger_key(self, window: Window) -> str:
        return ledger_key(
            customer=self._customer,
            service=self._service,
            window=window.name,
        )

    async def _read_ledger(
        self, window: Window
    ) -> Result[tuple[int, LedgerContent], None]:
        got = await self._store.get(key=self._ledger_key(window))
        if got.is_error():
            return Error(None)
        if got.ok is None:
            return Ok((0, LedgerContent()))
        decoded = self._codec.decode(
            data=got.ok.value, value_type=LedgerContent
        )
        if decoded.is_error():
            return Error(None)
        return Ok((got.ok.version, decoded.ok))

    async def _put_ledger(
        self,
        window: Window,
        version: int,
        content: LedgerContent,
        draw: Draw,
    ) -> StoreErrorKind | None:
        result = await self._store.put(
            key=self._ledger_key(window),
            value=self._codec.encode(
                value=add_draw(content=content, draw=draw)
            ),
            expected_version=version,
        )
        return None if result.is_ok() else result.error.kind
