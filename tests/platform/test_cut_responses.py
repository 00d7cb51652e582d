"""Responses whose server stops at any byte and ends the connection."""

import asyncio
import socket
import struct

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
# Closing the socket then resets the connection.
NO_LINGER = struct.pack('ii', 1, 0)
INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'


@pytest.mark.parametrize('ends_by_reset', [False, True])
@pytest.mark.parametrize('interim', ['', INTERIM], ids=['', 'interim'])
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
    framing: str,
    body: str,
    whole_from: int | None,
    interim: str,
    ends_by_reset: bool,
) -> None:
    """Guards against a part of a response that is forwarded as whole."""
    response = f'{interim}{HEAD}{framing}\r\n\r\n{body}'.encode()

    async def main() -> None:
        cut = 0

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(response[:cut])
            if ends_by_reset:
                await writer.drain()
                writer.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                )
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
        # A reset may also take what the reader has not read yet, so the whole
        # response is only expected after an orderly end.
        for cut in range(len(response) + (not ends_by_reset)):
            opened = await connector.connect(server=server, deadline=deadline)
            assert opened.is_ok(), opened.error
            result = await opened.ok.exchange(
                content=CONTENT, deadline=deadline
            )
            opened.ok.close()
            is_whole = cut == len(response)
            if whole_from is not None:
                is_whole = (
                    cut >= len(interim) + whole_from and not ends_by_reset
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
