"""Backend server for the comparison of HTTP data paths.

It responds at once, so that latencies are those of the relay.
"""

import argparse
import asyncio
from collections.abc import Sequence

from aiohttp import web

from teaselrock.protocol import fields
from teaselrock.state import LoadReport
from teaselrock.state import ServerState


async def _handle(http: web.BaseRequest) -> web.StreamResponse:
    report = LoadReport('start', ServerState.WARM, 1, 100)
    return web.Response(
        body=b'x' * 200,
        headers={
            fields.BACKEND_LOAD: fields.encode_load(report),
            fields.EXCHANGE_NUMBER: http.headers.get(
                fields.EXCHANGE_NUMBER, ''
            ),
        },
    )


async def _serve(port: int) -> None:
    runner = web.ServerRunner(web.Server(_handle), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    await asyncio.Event().wait()


def main(arguments: Sequence[str] | None = None) -> int:
    """Serve until stopped."""
    parser = argparse.ArgumentParser(prog='http_paths_backend')
    parser.add_argument('--port', type=int, required=True)
    asyncio.run(_serve(parser.parse_args(arguments).port))
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
