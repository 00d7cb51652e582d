"""Connections that servers end soon after, or with, a response."""

import asyncio
from typing import NamedTuple

from gateway_world import Run
from gateway_world import World
from platform_world import PlatformServer
from platform_world import Response
import pytest

from teaselrock.transport.request_parser import CallerRequest

CLOSE = {'Connection': 'close'}
REQUESTS = 6
# Between two requests; longer than the usable part of a timeout of 1 s.
PAUSE_S = 0.6


class Case(NamedTuple):
    """Fields of load checks and of other responses."""

    name: str
    check_fields: dict[str, str] = {}
    fields: dict[str, str] = {}
    pause_s: float = 0.0
    closes_idle: bool = False


def _timeout_case(seconds: int, *, pause_s: float = 0.0) -> Case:
    fields = {'Keep-Alive': f'timeout={seconds}'}
    return Case(
        f'timeout of {seconds} s, {pause_s} s between requests',
        fields,
        fields,
        pause_s,
    )


CASES = (
    _timeout_case(0),
    _timeout_case(1),
    _timeout_case(1, pause_s=PAUSE_S),
    _timeout_case(2),
    _timeout_case(30),
    Case('unstated timeout', pause_s=0.05, closes_idle=True),
    Case('checks close', check_fields=CLOSE),
    Case('responses close', fields=CLOSE),
    Case('all close', CLOSE, CLOSE),
)


class EndingServer(PlatformServer):
    """Server that ends connections as a case says."""

    def __init__(self, server_id: str, case: Case) -> None:
        super().__init__(server_id)
        self._case = case

    async def _handle(self, request: CallerRequest) -> Response | None:
        response = await super()._handle(request)
        assert response is not None
        status, fields, body = response
        is_check = request.target == '/health'
        added = self._case.check_fields if is_check else self._case.fields
        return status, {**fields, **added}, body


@pytest.mark.parametrize('case', CASES, ids=[case.name for case in CASES])
def test_requests_reach_a_server_that_ends_connections(
    run: Run, case: Case
) -> None:
    """Guards against requests refused since their connection has ended.

    A new connection serves them, also those that must not run twice.
    """

    async def scenario(world: World) -> None:
        for number in range(REQUESTS):
            status, _, body = await world.send_request(
                '/b/1' if number % 2 else '/x/1',
                method='POST' if number % 2 else 'GET',
                request_id=f'id{number}',
            )
            assert (status, body) == (200, b'done')
            if case.closes_idle:
                for writer in tuple(world.servers[0].http.writers):
                    writer.close()
            await asyncio.sleep(case.pause_s)
        assert world.received_count == REQUESTS

    run(scenario, [EndingServer('i-1', case)])
