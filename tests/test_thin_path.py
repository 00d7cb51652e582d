"""One gateway and one stand-in backend server over real sockets."""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

import aiohttp
import pytest

from teaselrock.daemon.gateway import Gateway
from teaselrock.daemon.settings import GatewaySettings
from teaselrock.standins.backend import serve_http
from teaselrock.standins.backend import ServerModel


class Case(NamedTuple):
    """A request and the response that the caller must get."""

    name: str
    method: str
    path: str
    headers: Mapping[str, str]
    status: int
    verdict: str
    code: str | None = None
    body: bytes = b''


AUTHORIZATION = {'Authorization': 'Bearer secret'}
CASES = (
    Case('served', 'GET', '/desk/status', AUTHORIZATION, 200, 'ran'),
    Case(
        'build',
        'POST',
        '/desk/build',
        {**AUTHORIZATION, 'Idempotency-Key': 'k1'},
        200,
        'ran',
    ),
    Case(
        'no key',
        'POST',
        '/desk/build',
        AUTHORIZATION,
        400,
        'did-not-run',
        'idempotency-key-required',
    ),
    Case(
        'unknown customer',
        'GET',
        '/desk/status',
        {'Authorization': 'Bearer other'},
        401,
        'did-not-run',
        'unknown-customer',
    ),
    Case(
        'unknown service',
        'GET',
        '/deskx',
        AUTHORIZATION,
        404,
        'did-not-run',
        'unknown-service',
    ),
    Case(
        'outside home regions',
        'GET',
        '/desk/status',
        {'Authorization': 'Bearer corrib'},
        421,
        'did-not-run',
        'outside-home-regions',
    ),
    Case(
        'body too large',
        'POST',
        '/desk/build',
        {**AUTHORIZATION, 'Idempotency-Key': 'k2'},
        413,
        'did-not-run',
        'body-too-large',
        b'x' * 101,
    ),
    Case(
        'bad deadline',
        'GET',
        '/desk/status',
        {**AUTHORIZATION, 'Request-Deadline-Ms': 'soon'},
        400,
        'did-not-run',
        'bad-request',
    ),
)


async def _exchange(settings: GatewaySettings, case: Case) -> None:
    model = ServerModel(
        server_id='server-0', start_id='start-0', concurrency=2
    )
    host, _, port = settings['servers'][0]['address'].rpartition(':')
    backend = await serve_http(model=model, host=host, port=int(port))
    gateway = Gateway(settings=settings)
    await gateway.start()
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                case.method,
                f'http://{settings["listen"]}{case.path}',
                headers=case.headers,
                data=case.body or None,
            ) as response,
        ):
            assert response.status == case.status
            assert response.headers['Request-Verdict'] == case.verdict
            if case.code is None:
                text = await response.text()
                assert text == f'server-0 {case.method} {case.path}\n'
                assert model.served == 1
            else:
                problem = await response.json(
                    content_type='application/problem+json'
                )
                assert problem['code'] == case.code
                assert problem['verdict'] == case.verdict
                assert model.served == 0
    finally:
        await gateway.stop()
        await backend.cleanup()


@pytest.mark.parametrize('case', CASES, ids=[case.name for case in CASES])
def test_request(case: Case, gateway_settings: GatewaySettings) -> None:
    """Guards against a wrong status, verdict or refusal code.

    A refused request must not reach the backend server.
    """
    asyncio.run(_exchange(gateway_settings, case))
