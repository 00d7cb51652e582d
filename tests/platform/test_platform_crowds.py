"""Crowds of callers at a real gateway process of the platform.

The module `crowd` has the crowds and the bounds.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib

from gateway_process import GatewayProcess
from gateway_process import running
from platform_world import LargeServer
from platform_world import PlatformServer
import pytest

import crowd
from teaselrock.platform import headers
from teaselrock.state.routes import CallerLimits

SERVERS = 4


def _play(
    work_dir: pathlib.Path,
    scenario: Callable[[GatewayProcess], Awaitable[None]],
    *,
    make_server: Callable[[str], PlatformServer] = PlatformServer,
    max_fds: int | None = None,
    max_body_bytes: int = crowd.MAX_BODY_BYTES,
) -> None:
    async def main() -> None:
        servers = [make_server(f'i-{number}') for number in range(SERVERS)]
        for server in servers:
            server.http.limits = CallerLimits(max_body_bytes=max_body_bytes)
        async with running(
            work_dir,
            crowd.MEMORY_MB,
            servers,
            max_fds=max_fds,
            caller_limits={'max_body_bytes': max_body_bytes},
        ) as gateway:
            await scenario(gateway)

    asyncio.run(main())


@pytest.mark.parametrize('name', crowd.LEGAL_SENDINGS)
def test_large_bodies(tmp_path: pathlib.Path, name: str) -> None:
    """Guards against a process that keeps all bodies of legal size."""
    _play(
        tmp_path,
        lambda gateway: crowd.play_crowd(gateway, crowd.LEGAL_SENDINGS[name]),
    )


@pytest.mark.parametrize('name', crowd.OVERSIZED_SENDINGS)
def test_oversized_bodies(tmp_path: pathlib.Path, name: str) -> None:
    """Guards against a process that keeps more than the limit."""
    _play(
        tmp_path,
        lambda gateway: crowd.play_crowd(
            gateway, crowd.OVERSIZED_SENDINGS[name]
        ),
    )


def test_crowd_that_comes_back(tmp_path: pathlib.Path) -> None:
    """Guards against memory that is kept after its connections ended."""

    async def scenario(gateway: GatewayProcess) -> None:
        for _ in range(crowd.ROUNDS):
            await crowd.play_crowd(
                gateway, crowd.LEGAL_SENDINGS['unfinished'], members=8
            )

    _play(tmp_path, scenario)


def test_two_crowds_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against accounts that are kept by kind of request only."""

    async def scenario(gateway: GatewayProcess) -> None:
        await asyncio.gather(
            *(
                crowd.play_crowd(gateway, crowd.LEGAL_SENDINGS[name])
                for name in ('unfinished', 'unfinished large chunks')
            )
        )

    _play(tmp_path, scenario)


def test_many_small_bodies(tmp_path: pathlib.Path) -> None:
    """Guards against bodies and connections that add up to the memory."""
    _play(
        tmp_path,
        lambda gateway: crowd.play_crowd(
            gateway, crowd.SMALL_BODIES, members=crowd.SMALL_BODY_MEMBERS
        ),
    )


@pytest.mark.parametrize('reads_all', [True, False])
def test_large_responses_beside_a_crowd(
    tmp_path: pathlib.Path, reads_all: bool
) -> None:
    """Guards against accounts that fit the memory one by one only.

    While unfinished bodies take their share, other callers request large
    responses at the same time.
    """
    _play(
        tmp_path,
        lambda gateway: crowd.play_large_responses(
            gateway,
            'GET /x/1 HTTP/1.1\r\nHost: a.example\r\n'
            f'{headers.REQUEST_ID}: large\r\nConnection: close\r\n\r\n',
            reads_all=reads_all,
        ),
        make_server=LargeServer,
    )


def test_stop_beside_a_crowd(tmp_path: pathlib.Path) -> None:
    """Guards against a stop that waits for unfinished bodies."""

    async def scenario(gateway: GatewayProcess) -> None:
        assert gateway.process is not None
        await crowd.play_stop(gateway, gateway.process.wait())

    _play(tmp_path, scenario)


@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_single_largest_body_is_served(
    tmp_path: pathlib.Path, framing: str
) -> None:
    """Guards against copies of a body that exceed the machine's memory."""
    size = crowd.USERS_MAX_BODY_BYTES

    async def scenario(gateway: GatewayProcess) -> None:
        reader, writer = await gateway.connect()
        sending = crowd.largest_body(framing)
        head = (
            f'{gateway.crowd_head}{sending.framing}'
            f'{headers.DEADLINE_MS}: 60000\r\n\r\n'
        )
        writer.write(head.replace('/x/', '/y/').encode())
        crowd.write_body(writer, sending)
        status_line = await reader.readline()
        writer.close()
        assert b' 200 ' in status_line
        received = [
            request
            for server in gateway.servers
            for request in server.received
            if request.body
        ]
        assert [request.body == b'x' * size for request in received] == [True]
        assert gateway.peak_bytes < crowd.MEMORY_MB * 1_000_000

    _play(tmp_path, scenario, max_body_bytes=size)


def test_heads_of_small_fields(tmp_path: pathlib.Path) -> None:
    """Guards against incomplete heads that cost many times their size."""
    _play(
        tmp_path,
        lambda gateway: crowd.play_crowd(
            gateway,
            crowd.HEAD_OF_SMALL_FIELDS,
            members=crowd.SMALL_FIELD_MEMBERS,
        ),
    )


def test_bodies_sent_ahead(tmp_path: pathlib.Path) -> None:
    """Guards against complete requests that wait and are not accounted."""
    _play(
        tmp_path,
        lambda gateway: crowd.play_crowd(gateway, crowd.sent_ahead(gateway)),
    )


@pytest.mark.parametrize('name', crowd.IDLE_BEGINNINGS)
def test_connections_beyond_the_descriptors(
    tmp_path: pathlib.Path, name: str
) -> None:
    """Guards against connections that take all descriptors."""
    _play(
        tmp_path,
        lambda gateway: crowd.play_idle_crowd(
            gateway, crowd.IDLE_BEGINNINGS[name]
        ),
        max_fds=crowd.MAX_FDS,
    )
