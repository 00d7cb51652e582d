"""Bounds the memory of all requests that callers send to a process.

A size limit for each request is not enough: many callers may send large
requests at once, and stop just short of their end. `request_parser` and
`front_end` account for requests, `caller_reader` for bytes that are not
parsed yet.
"""

from typing import Final

# Part of the process's memory for requests. The rest is for the program, for
# responses and for what each connection takes.
MEMORY_SHARE: Final = 2 / 5
# Memory of a process whose settings name none, in bytes; that of the users'
# smallest machine.
DEFAULT_MEMORY_BYTES: Final = 200_000_000
# Large requests leave this part of the limit to small ones, so that a crowd
# of large ones does not shut out everybody.
SMALL_REQUESTS_SHARE: Final = 1 / 10
MAX_SMALL_BYTES: Final = 64 * 1024
# What a field of a complete head takes beside its text: two strings and the
# tuples of the received and of the forwarded fields.
FIELD_BYTES: Final = 256
# Finely chunked bodies that are received at once. Each chunk takes time, so
# many such bodies would keep all others waiting; a caller that is alone may
# send one of any size.
MAX_FINELY_CHUNKED: Final = 4
# Room that a body of unknown length may take before it needs it.
MAX_SPARE_BYTES: Final = 64 * 1024


class HeldRequest:
    """Bytes of one request, or of a connection's unparsed input.

    Implements `state.RequestHold`. They are counted until the last user has
    released them; there is one user at first.
    """

    def __init__(self, *, memory: 'RequestMemory') -> None:
        self._memory = memory
        self._size = 0
        self._users = 1
        self._is_finely_chunked = False

    @property
    def size(self) -> int:
        """Bytes that are counted."""
        return self._size

    def resize(self, size: int) -> bool:
        """Count `size` bytes from now on; False if they have no room.

        The size is then unchanged. A smaller size always has room.
        """
        if self._users == 0 or not self._memory.replace(self._size, size):
            return False
        self._size = size
        return True

    def grow(self, size: int) -> bool:
        """Count at least `size` bytes; False if they have no room.

        For a body of unknown length, which gets room for its next part if
        there is some.
        """
        if size <= self._size:
            return True
        spare = min(size, MAX_SPARE_BYTES)
        return self.resize(size + spare) or self.resize(size)

    def allow_fine_chunks(self) -> bool:
        """Count a finely chunked body; False if there are too many."""
        if not self._is_finely_chunked:
            self._is_finely_chunked = (
                self._users > 0 and self._memory.add_finely_chunked()
            )
        return self._is_finely_chunked

    def end_fine_chunks(self) -> None:
        """The body is complete or rejected."""
        if self._is_finely_chunked:
            self._is_finely_chunked = False
            self._memory.remove_finely_chunked()

    def retain(self) -> None:
        """Add a user; has no effect after the last release."""
        if self._users > 0:
            self._users += 1

    def release(self) -> None:
        """Remove a user; the last one releases the bytes."""
        if self._users == 0:
            return
        self._users -= 1
        if self._users == 0:
            self.end_fine_chunks()
            self._memory.replace(self._size, 0)
            self._size = 0


class RequestMemory:
    """Limit of the bytes of all requests, from the memory of the process.

    `memory_bytes` is that of the whole process.
    """

    def __init__(self, *, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        self._limit_bytes = int(memory_bytes * MEMORY_SHARE)
        self._large_limit_bytes = int(
            self._limit_bytes * (1 - SMALL_REQUESTS_SHARE)
        )
        self._total_bytes = 0
        self._large_bytes = 0
        self._finely_chunked = 0

    @property
    def limit_bytes(self) -> int:
        """Limit of `total_bytes`."""
        return self._limit_bytes

    @property
    def total_bytes(self) -> int:
        """Bytes of all requests that are received or served."""
        return self._total_bytes

    def open(self) -> HeldRequest:
        """Account for a new request, which has no bytes so far."""
        return HeldRequest(memory=self)

    def add_finely_chunked(self) -> bool:
        """Count another finely chunked body; False if there are too many."""
        if self._finely_chunked >= MAX_FINELY_CHUNKED:
            return False
        self._finely_chunked += 1
        return True

    def remove_finely_chunked(self) -> None:
        """Stop counting a finely chunked body."""
        self._finely_chunked -= 1

    def replace(self, old_size: int, new_size: int) -> bool:
        """Count `new_size` instead of `old_size`; False if it has no room."""
        total_bytes = self._total_bytes - old_size + new_size
        large_bytes = (
            self._large_bytes - _large_part(old_size) + _large_part(new_size)
        )
        if new_size > old_size and (
            total_bytes > self._limit_bytes
            or (
                new_size > MAX_SMALL_BYTES
                and large_bytes > self._large_limit_bytes
            )
        ):
            return False
        self._total_bytes = total_bytes
        self._large_bytes = large_bytes
        return True


def _large_part(size: int) -> int:
    return size if size > MAX_SMALL_BYTES else 0
