"""Bounded queue of waiting requests, fair between customers.

Deficit round robin: in each round a customer is served `weight` requests.
The borrower keeps one queue for each service.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

T = TypeVar('T')


class _Line(Generic[T]):
    def __init__(self, weight: int) -> None:
        self.weight = weight
        self.deficit = weight
        self.items: OrderedDict[int, T] = OrderedDict()


class FairQueue(Generic[T]):
    """Waiting items by customer."""

    def __init__(self, *, max_per_customer: int, max_total: int) -> None:
        self._max_per_customer = max_per_customer
        self._max_total = max_total
        self._length = 0
        self._next = 0
        self._lines: OrderedDict[str, _Line[T]] = OrderedDict()

    def __len__(self) -> int:
        return self._length

    def put(self, *, customer: str, weight: int, item: T) -> int | None:
        """Append; returns a ticket for `discard`, None if full."""
        line = self._lines.get(customer)
        if self._length >= self._max_total:
            return None
        if line is None:
            line = self._lines[customer] = _Line(max(1, weight))
        elif len(line.items) >= self._max_per_customer:
            return None
        self._next += 1
        self._length += 1
        line.items[self._next] = item
        return self._next

    def discard(self, *, customer: str, ticket: int) -> None:
        """Remove an item that no longer waits."""
        line = self._lines.get(customer)
        if line is not None and line.items.pop(ticket, None) is not None:
            self._length -= 1
            if not line.items:
                del self._lines[customer]

    def take(self, *, accepts: Callable[[T], bool]) -> T | None:
        """Remove the next item that accepts what is offered."""
        for customer in list(self._lines):
            line = self._lines[customer]
            for ticket, item in line.items.items():
                if accepts(item):
                    self._serve(customer, line, ticket)
                    return item
        return None

    def find(self, *, accepts: Callable[[T], bool]) -> T | None:
        """An item that accepts what is offered; it stays in the queue."""
        for line in self._lines.values():
            for item in line.items.values():
                if accepts(item):
                    return item
        return None

    def _serve(self, customer: str, line: _Line[T], ticket: int) -> None:
        line.items.pop(ticket)
        self._length -= 1
        line.deficit -= 1
        if not line.items:
            del self._lines[customer]
        elif line.deficit <= 0:
            line.deficit = line.weight
            self._lines.move_to_end(customer)
