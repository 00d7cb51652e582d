"""Connections to the lenders of permits, with one task for each lender."""

import asyncio
from typing import Final

from teaselrock.coordination.ports import InstanceRegistration
from teaselrock.coordination.ports import RelayChannel
from teaselrock.coordination.ports import RelayLink
from teaselrock.coordination.rate_permits.messages import PermitRequest
from teaselrock.coordination.rate_permits.messages import PermitResponse

# A lender that does not answer within this time, connecting included, may be
# down or suspended. Lenders in other regions answer within 20 ms.
RESPONSE_TIMEOUT_S: Final = 0.1
# Exponential delay until an unresponsive lender is asked again.
RETRY_MIN_S: Final = 1.0
RETRY_MAX_S: Final = 8.0


class LenderConnection:
    """Connection to one lender; opened by the first request."""

    def __init__(
        self, *, entry: InstanceRegistration, link: RelayLink
    ) -> None:
        self._entry = entry
        self._link = link
        self._task: asyncio.Task[None] | None = None
        self._channel: RelayChannel | None = None
        self._connected = asyncio.Event()
        self._pending: dict[int, asyncio.Future[PermitResponse | None]] = {}
        self._unusable_until = float('-inf')
        self._retry_delay = RETRY_MIN_S

    @property
    def address(self) -> str:
        """Address of the lender."""
        return self._entry.address

    @property
    def is_usable(self) -> bool:
        """Whether the lender may be asked now."""
        return asyncio.get_running_loop().time() >= self._unusable_until

    def suspend(self, seconds: float) -> None:
        """Do not ask the lender for some seconds."""
        self._unusable_until = asyncio.get_running_loop().time() + seconds

    async def ask(self, request: PermitRequest) -> PermitResponse | None:
        """Request a permit; None if the lender does not answer in time."""
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        future: asyncio.Future[PermitResponse | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[request.number] = future
        response: PermitResponse | None = None
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await self._connected.wait()
                if self._channel is not None and self._channel.send(request):
                    response = await future
        except TimeoutError:
            pass
        finally:
            self._pending.pop(request.number, None)
        if response is None:
            self._on_unresponsive()
        else:
            self._retry_delay = RETRY_MIN_S
        return response

    def close(self) -> None:
        """Close the connection; requests in progress get no response."""
        if self._task is not None:
            self._task.cancel()

    def _on_unresponsive(self) -> None:
        """Suspend the lender, and reconnect before it is asked again.

        An open connection may have become silent while new ones work.
        """
        if not self.is_usable:
            return
        self.suspend(self._retry_delay)
        self._retry_delay = min(RETRY_MAX_S, 2 * self._retry_delay)
        self.close()

    async def _run(self) -> None:
        """Connect, then pass each response to the request that waits."""
        channel: RelayChannel | None = None
        try:
            channel = await self._link.connect(address=self._entry.address)
            self._channel = channel
            self._connected.set()
            while channel is not None:
                message = await channel.receive()
                if not isinstance(message, PermitResponse):
                    return
                future = self._pending.get(message.number)
                if future is not None and not future.done():
                    future.set_result(message)
        finally:
            if channel is not None:
                channel.close()
            self._channel = None
            self._connected.clear()
            for future in self._pending.values():
                if not future.done():
                    future.set_result(None)
