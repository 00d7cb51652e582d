"""Commands of the operators' pages, run against a deployment."""

import asyncio
from collections.abc import Callable
import pathlib
import re
import shlex

from deployment import Deployment
from deployment import running

from teaselrock.cli import main as cli
from teaselrock.cli.services import IMPLEMENTATIONS
from teaselrock.daemon.settings import GatewaySettings

ROOT = pathlib.Path(__file__).parents[2]
PAGES = (
    'operators/first-day',
    'operators/zones-and-drains',
    'operators/report',
)
# `explain` needs the logs of a request;
# tests/platform/test_explained_requests.py runs it as the page describes.
PAGES_NOT_RUN = ('OPERATIONS',)
COMMAND = re.compile(r'^ {4,}teaselrock (.+)$', re.M)


def _commands(page: str) -> list[list[str]]:
    text = (ROOT / f'docs/{page}.md').read_text('utf-8')
    return [shlex.split(line) for line in COMMAND.findall(text)]


def test_pages_show_all_commands() -> None:
    """Guards against a command that no operators' page shows."""
    shown = {
        arguments[0]
        for page in (*PAGES, *PAGES_NOT_RUN)
        for arguments in _commands(page)
    }
    usage = cli.make_parser(IMPLEMENTATIONS).format_usage()
    names = re.findall(r'\{(.+?)\}', usage)[0].split(',')
    assert shown == set(names)


def test_commands_of_pages_succeed(
    gateway_settings: GatewaySettings,
    free_port: Callable[[], int],
    tmp_path: pathlib.Path,
) -> None:
    """Guards against pages whose commands fail.

    They are run in the order of the pages, with the deployment's addresses.
    """

    async def run_command(arguments: list[str], deployment: Deployment) -> int:
        operators_address = deployment.gateways['gw-a']['operators_listen']
        replacements = {
            'URL': deployment.store_url,
            '127.0.0.1:9080': operators_address,
            'report.html': str(tmp_path / 'report.html'),
        }
        arguments = [
            replacements.get(argument, argument) for argument in arguments
        ]
        arguments = [
            str(ROOT / argument)
            if argument.startswith('examples/')
            else argument
            for argument in arguments
        ]
        return await asyncio.to_thread(cli.main, arguments)

    async def main() -> None:
        async with running(
            settings=gateway_settings, free_port=free_port, work_dir=tmp_path
        ) as deployment:
            for page in PAGES:
                for arguments in _commands(page):
                    # `running` has already started the gateways.
                    if arguments[0] != 'gateway':
                        assert await run_command(arguments, deployment) == 0, (
                            arguments
                        )

    asyncio.run(main())
    assert (tmp_path / 'report.html').exists()
