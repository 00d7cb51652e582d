"""One amount: blocks drawn from a ledger in the store, spent locally.

`StoreAllowances` keeps one `Amount` for each customer and service with a
limit. The ledger is only changed by conditional update, and a draw whose
answer was lost is looked up by its id, so the sum drawn never exceeds the
plan. One draw is in flight at a time.
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

DRAW_LIMIT_S: Final = 4.0
RETRY_S: Final = 0.1
# After a failed prefetch the next one waits, to spare the store.
PREFETCH_PAUSE_S: Final = 1.0
# The ledger is read again after this time, since other instances return
# blocks and the plan may change.
EXHAUSTED_S: Final = 1.0


class DrawResult(enum.StrEnum):
    """How a draw ended."""

    DRAWN = 'drawn'
    EXCEEDED = 'exceeded'
    UNAVAILABLE = 'unavailable'


class _Block:
    """What is left of the blocks of one window."""

    def __init__(self, *, window: Window) -> None:
        self.window = window
        self.left = 0
        self.drawn = 0
        self.exhausted_until = 0.0
        self.exhausted_need = 0


class AmountCharge:
    """Units taken from a block."""

    def __init__(self, *, block: _Block, units: int) -> None:
        self._block = block
        self._units = units

    def refund(self) -> None:
        """Give the units back to the block, once."""
        self._block.left += self._units
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
        self._block: _Block | None = None
        self._draw: asyncio.Task[DrawResult] | None = None
        self._waiting_units = 0
        self._no_prefetch_until = 0.0

    async def charge(
        self, *, units: int, plan_units: int, kind: str, deadline: float
    ) -> Result[AmountCharge, DrawResult]:
        """Take units of the current window of `kind`.

        `deadline` is on the loop's clock; a draw that takes longer counts
        as unavailable.
        """
        block = self._current(kind)
        while block.left < units:
            self._waiting_units += units
            try:
                async with asyncio.timeout_at(deadline):
                    result = await self._fill(block, units, plan_units)
            except TimeoutError:
                return Error(DrawResult.UNAVAILABLE)
            finally:
                self._waiting_units -= units
            block = self._current(kind)
            if result is not DrawResult.DRAWN and block.left < units:
                return Error(result)
        block.left -= units
        self._prefetch(block, plan_units)
        return Ok(AmountCharge(block=block, units=units))

    def retry_after(self) -> float:
        """Seconds until the current window ends."""
        if self._block is None:
            return 0.0
        return max(0.0, self._block.window.end - self._wall_clock())

    async def give_back(self) -> None:
        """Return the unspent block; it is lost if the store is away."""
        if self._draw is not None and not self._draw.done():
            await asyncio.wait({self._draw})
        block = self._block
        self._block = None
        if block is None or block.left == 0:
            return
        left, block.left = block.left, 0
        await self._return(block.window, left)

    def _current(self, kind: str) -> _Block:
        window = window_at(kind=kind, now=self._wall_clock())
        if self._block is None or self._block.window != window:
            self._block = _Block(window=window)
        return self._block

    async def _fill(
        self, block: _Block, units: int, plan_units: int
    ) -> DrawResult:
        """Wait for the draw in flight, or draw."""
        now = asyncio.get_running_loop().time()
        if now < block.exhausted_until and units >= block.exhausted_need:
            return DrawResult.EXCEEDED
        if self._draw is not None and not self._draw.done():
            # Its result may be for another need or an earlier window. A
            # cancelled waiter must not cancel the others' draw.
            result = await asyncio.shield(self._draw)
            if result is DrawResult.EXCEEDED:
                return DrawResult.DRAWN
            return result
        self._draw = asyncio.create_task(
            self._draw_block(block, plan_units, units, self._waiting_units)
        )
        return await asyncio.shield(self._draw)

    def _prefetch(self, block: _Block, plan_units: int) -> None:
        now = asyncio.get_running_loop().time()
        if (
            block.left * 2 <= block.drawn
            and now >= block.exhausted_until
            and (self._draw is None or self._draw.done())
            and now >= self._no_prefetch_until
        ):
            self._no_prefetch_until = now + PREFETCH_PAUSE_S
            self._draw = asyncio.create_task(
                self._draw_block(block, plan_units, 1, 1)
            )

    async def _draw_block(
        self, block: _Block, plan_units: int, need: int, wish: int
    ) -> DrawResult:
        """Draw at least `need` units into the block, if the plan has them.

        `wish` is what all waiting requests need together.
        """
        loop = asyncio.get_running_loop()
        limit = loop.time() + DRAW_LIMIT_S
        draw_id = f'{self._rng.getrandbits(64):016x}'
        while loop.time() < limit:
            read = await self._read(block.window)
            if read.is_error():
                await asyncio.sleep(RETRY_S)
                continue
            version, content = read.ok
            landed = find_draw(content=content, draw_id=draw_id)
            if landed is not None:
                return self._add(block, landed.units)
            size = block_size(
                content=content, plan_units=plan_units, need=wish
            ) or block_size(content=content, plan_units=plan_units, need=need)
            if size == 0:
                block.exhausted_until = loop.time() + EXHAUSTED_S
                block.exhausted_need = need
                return DrawResult.EXCEEDED
            put = await self._put(
                block.window, version, content, Draw(draw_id, size)
            )
            if put is None:
                return self._add(block, size)
            if put not in (StoreErrorKind.CONFLICT, StoreErrorKind.UNKNOWN):
                await asyncio.sleep(RETRY_S)
        return DrawResult.UNAVAILABLE

    def _add(self, block: _Block, units: int) -> DrawResult:
        block.left += units
        block.drawn = block.left
        return DrawResult.DRAWN

    async def _return(self, window: Window, units: int) -> None:
        """Return units, at most once.

        Without an answer the put is repeated only at the same version,
        since a put that has landed made that version pass.
        """
        draw = Draw(f'{self._rng.getrandbits(64):016x}', -units)
        limit = asyncio.get_running_loop().time() + DRAW_LIMIT_S
        unknown_at: int | None = None
        while asyncio.get_running_loop().time() < limit:
            read = await self._read(window)
            if read.is_error():
                await asyncio.sleep(RETRY_S)
                continue
            version, content = read.ok
            if unknown_at is not None and version != unknown_at:
                return
            put = await self._put(window, version, content, draw)
            if put is None:
                return
            if put is StoreErrorKind.UNKNOWN:
                unknown_at = version
            elif put is not StoreErrorKind.CONFLICT:
                await asyncio.sleep(RETRY_S)

    def _key(self, window: Window) -> str:
        return ledger_key(
            customer=self._customer,
            service=self._service,
            window=window.name,
        )

    async def _read(
        self, window: Window
    ) -> Result[tuple[int, LedgerContent], None]:
        got = await self._store.get(key=self._key(window))
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

    async def _put(
        self,
        window: Window,
        version: int,
        content: LedgerContent,
        draw: Draw,
    ) -> StoreErrorKind | None:
        put = await self._store.put(
            key=self._key(window),
            value=self._codec.encode(
                value=add_draw(content=content, draw=draw)
            ),
            expected_version=version,
        )
        return None if put.is_ok() else put.error.kind
