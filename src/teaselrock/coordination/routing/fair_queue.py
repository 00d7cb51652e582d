"""Bounded queue of waiting requests that is fair between customers.

Uses deficit round robin: in each round a customer is served `weight` items.
`SlotBorrower` keeps one queue for each service.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

T = TypeVar('T')


class _CustomerQueue(Generic[T]):
    def __init__(self, weight: int) -> None:
        self.weight = weight
        self.deficit = weight
        self.items: OrderedDict[int, T] = OrderedDict()


class FairQueue(Generic[T]):
    """Waiting items, queued by customer."""

    def __init__(self, *, max_per_customer: int, max_total: int) -> None:
        self._max_per_customer = max_per_customer
        self._max_total = max_total
        self._length = 0
        self._last_ticket = 0
        self._queues: OrderedDict[str, _CustomerQueue[T]] = OrderedDict()

    def __len__(self) -> int:
        return self._length

    def put(self, *, customer: str, weight: int, item: T) -> int | None:
        """Append an item; returns a ticket for `discard`, None if full."""
        queue = self._queues.get(customer)
        if self._length >= self._max_total:
            return None
        if queue is None:
            queue = self._queues[customer] = _CustomerQueue(max(1, weight))
        elif len(queue.items) >= self._max_per_customer:
            return None
        self._last_ticket += 1
        self._length += 1
        queue.items[self._last_ticket] = item
        return self._last_ticket

    def discard(self, *, customer: str, ticket: int) -> None:
        """Remove an item that no longer waits; does nothing if it is gone."""
        queue = self._queues.get(customer)
        if queue is not None and queue.items.pop(ticket, None) is not None:
            self._length -= 1
            if not queue.items:
                del self._queues[customer]

    def take(self, *, accepts: Callable[[T], bool]) -> T | None:
        """Remove and return the next item for which `accepts` is true."""
        for customer in list(self._queues):
            queue = self._queues[customer]
            for ticket, item in queue.items.items():
                if accepts(item):
                    self._serve(customer, queue, ticket)
                    return item
        return None

    def find(self, *, accepts: Callable[[T], bool]) -> T | None:
        """The next item for which `accepts` is true; it stays in the queue."""
        for queue in self._queues.values():
            for item in queue.items.values():
                if accepts(item):
                    return item
        return None

    def _serve(
        self, customer: str, queue: _CustomerQueue[T], ticket: int
    ) -> None:
        queue.items.pop(ticket)
        self._length -= 1
        queue.deficit -= 1
        if not queue.items:
            del self._queues[customer]
        elif queue.deficit <= 0:
            queue.deficit = queue.weight
            self._queues.move_to_end(customer)
