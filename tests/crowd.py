"""Crowds of callers that send large, unfinished or oversized requests.

`play_crowd` lets them all send to a gateway process at once and checks what
does not depend on the machine's speed: the process lives, its memory and
descriptors stay within its machine's, and an ordinary request is answered.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
import contextlib
import os
import pathlib
import signal
from typing import NamedTuple
from typing import Protocol

MIB = 1024 * 1024
# The limits of the tests' gateways. The memory is that of the users' smallest
# machine, in units of 1,000,000 bytes; the descriptors are lowered.
MEMORY_MB = 200
MAX_FDS = 256
MAX_BODY_BYTES = 16 * MIB
# The largest body that the users' limits allow.
USERS_MAX_BODY_BYTES = 64 * MIB

MEMBERS = 24
# One in so many members completes its request; the others stop short.
COMPLETE_EVERY = 4
ROUNDS = 3
# A head of small fields stays below the default limit of a head, 16 KiB.
SMALL_FIELDS = 2200
SMALL_FIELD_MEMBERS = 800
AHEAD_BODY_BYTES = MAX_BODY_BYTES // 4
AHEAD_REQUESTS = 32
# Tries of an ordinary request, which comes back after a Retry-After.
MAX_TRIES = 10
# What the members of an idle crowd send of a request.
IDLE_BEGINNINGS = {
    'nothing': b'',
    'part of a head': b'GET /x/1 HTTP/1.1\r\nX: ',
}
# Descriptors that a gateway may open for servers and the store meanwhile.
OTHER_DESCRIPTORS = 40
# Ends a test whose gateway does not answer at all.
HANG_TIMEOUT_S = 240
POLL_S = 0.05
BLOCK = 64 * 1024
_LARGE_CHUNK = b'%x\r\n' % MIB + b'x' * MIB + b'\r\n'
_LENGTH = f'Content-Length: {MAX_BODY_BYTES}\r\n'
_CHUNKED = 'Transfer-Encoding: chunked\r\n'


class Sending(NamedTuple):
    """How one member sends the body of its request.

    `framing` are header fields. `piece` is sent `count` times, and `end` by
    the members that complete their requests. If `ends_head` is false, the
    pieces continue the head.
    """

    framing: str
    piece: bytes
    count: int
    end: bytes = b''
    ends_head: bool = True


LEGAL_SENDINGS = {
    'whole': Sending(_LENGTH, b'x' * MAX_BODY_BYTES, 1),
    'pieces': Sending(_LENGTH, b'x' * BLOCK, MAX_BODY_BYTES // BLOCK),
    'unfinished': Sending(_LENGTH, b'x' * (MAX_BODY_BYTES - 1), 1, b'x'),
    'unfinished pieces': Sending(
        _LENGTH,
        b'x' * (BLOCK - 1),
        MAX_BODY_BYTES // BLOCK,
        b'x' * (MAX_BODY_BYTES // BLOCK),
    ),
    'unfinished after 100-continue': Sending(
        _LENGTH + 'Expect: 100-continue\r\n',
        b'x' * (MAX_BODY_BYTES - 1),
        1,
        b'x',
    ),
    'unfinished large chunks': Sending(
        _CHUNKED, _LARGE_CHUNK, MAX_BODY_BYTES // MIB, b'0\r\n\r\n'
    ),
    'unfinished chunks of 8 bytes': Sending(
        _CHUNKED,
        b'8\r\nxxxxxxxx\r\n' * (BLOCK // 8),
        MAX_BODY_BYTES // BLOCK,
        b'0\r\n\r\n',
    ),
    'unfinished chunks of 1 byte': Sending(
        _CHUNKED, b'1\r\nx\r\n' * 8192, MIB // 8192, b'0\r\n\r\n'
    ),
}
OVERSIZED_SENDINGS = {
    'announced': Sending(
        f'Content-Length: {MAX_BODY_BYTES + 1}\r\n',
        b'x' * BLOCK,
        MAX_BODY_BYTES // BLOCK,
        b'x',
    ),
    'announced far over': Sending(
        f'Content-Length: {1024 * 1024 * MIB}\r\n', b'x' * BLOCK, 1024
    ),
    'sent beyond the announced length': Sending(_LENGTH, b'x' * BLOCK, 1024),
    'sent in chunks': Sending(_CHUNKED, _LARGE_CHUNK, 64),
}


HEAD_OF_SMALL_FIELDS = Sending(
    '',
    ''.join(f'{number:x}:\r\n' for number in range(SMALL_FIELDS)).encode(),
    1,
    b'\r\n',
    ends_head=False,
)


# Bodies that count as small in the account of requests. No member completes
# its request, so that no connections to servers stay open.
SMALL_BODIES = Sending(f'Content-Length: {BLOCK}\r\n', b'x' * (BLOCK - 1), 1)
SMALL_BODY_MEMBERS = 1400


def largest_body(framing: str) -> Sending:
    """A body of the users' largest size, in one piece or in large chunks."""
    if framing == 'length':
        length = f'Content-Length: {USERS_MAX_BODY_BYTES}\r\n'
        return Sending(length, b'x' * USERS_MAX_BODY_BYTES, 1)
    chunks = USERS_MAX_BODY_BYTES // MIB
    return Sending(_CHUNKED, _LARGE_CHUNK, chunks, b'0\r\n\r\n')


def write_body(writer: asyncio.StreamWriter, sending: Sending) -> None:
    """Write a whole body, without waiting for the receiver."""
    for _ in range(sending.count):
        writer.write(sending.piece)
    writer.write(sending.end)


class Target(Protocol):
    """A gateway process under test."""

    @property
    def pid(self) -> int:
        """Id of the process."""
        ...

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        ...

    @property
    def crowd_head(self) -> str:
        """Request line and fields of a crowd's request, without framing."""
        ...

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect as a caller."""
        ...

    async def send_ordinary(self) -> tuple[int, float]:
        """Status of an ordinary request, and its Retry-After in seconds.

        Sent on a connection of its own; raises `OSError` or
        `asyncio.IncompleteReadError` if that ends without a response.
        """
        ...


def peak_bytes(pid: int) -> int:
    """Largest resident size of a process since its start."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text('utf-8')
    (line,) = (x for x in status.splitlines() if x.startswith('VmHWM:'))
    return int(line.split()[1]) * 1024


def open_descriptors(pid: int) -> int:
    """Number of descriptors that a process has open."""
    return len(os.listdir(f'/proc/{pid}/fd'))


class Crowd:
    """Callers that send at once and keep their connections open."""

    def __init__(
        self, *, target: Target, sending: Sending, members: int = MEMBERS
    ) -> None:
        self._target = target
        self._sending = sending
        self._members = members
        self._begun = 0
        self._all_begun = asyncio.Event()
        self._senders: list[asyncio.Task[None]] = []
        self._readers: list[asyncio.Task[None]] = []
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Start all members; returns when each has begun to send."""
        self._senders = [
            asyncio.create_task(
                self._send(completes=number % COMPLETE_EVERY == 0)
            )
            for number in range(self._members)
        ]
        await self._all_begun.wait()

    async def wait_sent(self) -> None:
        """Wait until each member has sent its part or was disconnected."""
        await asyncio.gather(*self._senders)

    async def close(self) -> None:
        """Close all connections."""
        for task in (*self._senders, *self._readers):
            task.cancel()
        await asyncio.gather(
            *self._senders, *self._readers, return_exceptions=True
        )
        for writer in self._writers:
            writer.transport.abort()

    async def _send(self, *, completes: bool) -> None:
        try:
            reader, writer = await self._target.connect()
            self._writers.append(writer)
            self._readers.append(asyncio.create_task(_discard(reader)))
            head = self._target.crowd_head + self._sending.framing
            if self._sending.ends_head:
                head += '\r\n'
            writer.write(head.encode())
            for number in range(self._sending.count):
                writer.write(self._sending.piece)
                if number == 0:
                    self._count_begun()
                await writer.drain()
            if completes:
                writer.write(self._sending.end)
                await writer.drain()
        except OSError:
            # Disconnected by the gateway, which is allowed.
            return

    def _count_begun(self) -> None:
        self._begun += 1
        if self._begun == self._members:
            self._all_begun.set()


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(BLOCK):
            pass


async def is_served(target: Target) -> bool:
    """Whether an ordinary request gets 200, within `MAX_TRIES` tries."""
    for _ in range(MAX_TRIES):
        try:
            status, retry_after = await target.send_ordinary()
        except (OSError, asyncio.IncompleteReadError):
            continue
        if status == 200:
            return True
        await asyncio.sleep(retry_after)
    return False


@contextlib.asynccontextmanager
async def no_hang() -> AsyncIterator[None]:
    """Fail, rather than wait for ever, if the gateway hangs."""
    try:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            yield
    except TimeoutError as error:
        raise AssertionError('the gateway does not answer') from error


async def play_crowd(
    target: Target, sending: Sending, *, members: int = MEMBERS
) -> None:
    """Play a crowd; check memory, descriptors and ordinary requests."""
    async with no_hang():
        assert await is_served(target)
        descriptors = open_descriptors(target.pid)
        crowd = Crowd(target=target, sending=sending, members=members)
        try:
            await crowd.start()
            assert await is_served(target)
            await crowd.wait_sent()
            assert await is_served(target)
        finally:
            await crowd.close()
        assert await is_served(target)
        while open_descriptors(target.pid) > descriptors + OTHER_DESCRIPTORS:
            await asyncio.sleep(POLL_S)
    assert target.is_running
    assert peak_bytes(target.pid) < MEMORY_MB * 1_000_000


async def play_large_responses(
    target: Target, request: str, *, reads_all: bool
) -> None:
    """Request large responses beside a crowd of unfinished bodies.

    Callers read them, or disconnect after their first bytes.
    """

    async def call() -> None:
        reader, writer = await target.connect()
        writer.write(request.encode())
        # The response may be refused or cut; only the memory is judged.
        if reads_all:
            await _discard(reader)
        else:
            with contextlib.suppress(OSError):
                await reader.read(BLOCK)
        writer.close()

    await asyncio.gather(
        play_crowd(target, LEGAL_SENDINGS['unfinished']),
        *(call() for _ in range(MEMBERS)),
    )


async def play_stop(target: Target, stopped: Awaitable[int]) -> None:
    """Stop a process by SIGTERM while a crowd leaves requests unfinished.

    `stopped` returns the exit status of the process.
    """
    async with no_hang():
        assert await is_served(target)
        crowd = Crowd(target=target, sending=LEGAL_SENDINGS['unfinished'])
        try:
            await crowd.start()
            os.kill(target.pid, signal.SIGTERM)
            assert await stopped == 0
        finally:
            await crowd.close()


def sent_ahead(target: Target) -> Sending:
    """Requests with bodies, each sent before the responses to earlier ones."""
    framing = f'Content-Length: {AHEAD_BODY_BYTES}\r\n'
    head = f'{target.crowd_head}{framing}\r\n'.encode()
    body = b'x' * AHEAD_BODY_BYTES
    return Sending(framing, body + head, AHEAD_REQUESTS, body)


async def play_idle_crowd(target: Target, first: bytes) -> None:
    """Open more connections than the process has descriptors.

    Each sends `first`, an incomplete request, and stays open.
    """
    writers: list[asyncio.StreamWriter] = []
    async with no_hang():
        assert await is_served(target)
        try:
            for _ in range(2 * MAX_FDS):
                with contextlib.suppress(OSError):
                    _, writer = await target.connect()
                    writers.append(writer)
                    writer.write(first)
                assert open_descriptors(target.pid) < MAX_FDS
            assert await is_served(target)
        finally:
            for writer in writers:
                writer.transport.abort()
        assert await is_served(target)
    assert target.is_running
    assert peak_bytes(target.pid) < MEMORY_MB * 1_000_000
