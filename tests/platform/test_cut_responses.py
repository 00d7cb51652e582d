"""Responses whose server stops at any byte and closes the connection."""

import asyncio

import pytest

from teaselrock.platform import headers
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer
from teaselrock.state import FailureKind
from teaselrock.state import RequestContent
from teaselrock.state import Verdict
from teaselrock.transport.backend import HttpConnector

CONTENT = RequestContent('GET', '/x/', ((headers.REQUEST_ID, 'id1'),), b'')
HEAD = (
    f'HTTP/1.1 200 OK\r\n{headers.REQUEST_ID}: id1\r\n{headers.SIGNATURE}: s'
)
BODY = 'twelve bytes'


@pytest.mark.parametrize(
    ('framing', 'body', 'whole_from'),
    [
        pytest.param(f'\r\nContent-Length: {len(BODY)}', BODY, None, id='len'),
        pytest.param(
            '\r\nTransfer-Encoding: chunked',
            f'c\r\n{BODY}\r\n0\r\n\r\n',
            None,
            id='chunks',
        ),
        # Without a length, the end of the connection ends the body.
        pytest.param('', BODY, len(HEAD) + 4, id='until the end'),
    ],
)
def test_cut_response_is_no_success(
    framing: str, body: str, whole_from: int | None
) -> None:
    """Guards against a part of a response that is forwarded as whole."""
    response = f'{HEAD}{framing}\r\n\r\n{body}'.encode()

    async def main() -> None:
        cut = 0

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(response[:cut])
            writer.close()

        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        server = BackendServer(
            'i-1',
            'desk',
            AvailabilityZone('east', 'a'),
            f'127.0.0.1:{port}',
            2,
        )
        connector = HttpConnector(
            dialect=headers.PlatformBackendDialect(
                health_target=lambda service: '/health'
            )
        )
        deadline = asyncio.get_running_loop().time() + 60
        for cut in range(len(response) + 1):
            opened = await connector.connect(server=server, deadline=deadline)
            result = await opened.ok.exchange(
                content=CONTENT, deadline=deadline
            )
            opened.ok.close()
            is_whole = cut == len(response) or (
                whole_from is not None and cut >= whole_from
            )
            assert result.is_ok() == is_whole, response[:cut]
            if not is_whole:
                assert result.error.verdict is Verdict.MAY_HAVE_RUN
                assert result.error.kind in (
                    FailureKind.NO_RESPONSE,
                    FailureKind.INVALID_RESPONSE,
                )
        listener.close()

    asyncio.run(main())
