"""Commands on the operators' pages, against a running deployment."""

import asyncio
from collections.abc import Callable
import pathlib
import re
import shlex

from deployment import Deployment
from deployment import running

from teaselrock.cli import main as cli
from teaselrock.cli.services import SERVICES
from teaselrock.daemon.settings import GatewaySettings

ROOT = pathlib.Path(__file__).parents[2]
PAGES = (
    'operators/first-day',
    'operators/zones-and-drains',
    'operators/report',
)
# `explain` needs the logs of a request; tests/platform/test_stories.py runs
# it as the page describes.
SHOWN_ONLY = ('OPERATIONS',)
COMMAND = re.compile(r'^ {4,}teaselrock (.+)$', re.M)


def _commands(page: str) -> list[list[str]]:
    text = (ROOT / f'docs/{page}.md').read_text('utf-8')
    return [shlex.split(line) for line in COMMAND.findall(text)]


def test_all_commands_are_shown() -> None:
    """Guards against a command that no page shows."""
    shown = {
        words[0] for page in (*PAGES, *SHOWN_ONLY) for words in _commands(page)
    }
    offered = cli.make_parser(SERVICES).format_usage()
    names = re.findall(r'\{(.+?)\}', offered)[0].split(',')
    assert shown == set(names)


def test_commands_work(
    gateway_settings: GatewaySettings,
    free_port: Callable[[], int],
    tmp_path: pathlib.Path,
) -> None:
    """Guards against pages whose commands do not do what they say."""

    async def run(words: list[str], deployment: Deployment) -> int:
        own = deployment.gateways['gw-a']['operators_listen']
        given = {
            'URL': deployment.store,
            '127.0.0.1:9080': own,
            'report.html': str(tmp_path / 'report.html'),
        }
        words = [given.get(word, word) for word in words]
        words = [
            str(ROOT / word) if word.startswith('examples/') else word
            for word in words
        ]
        return await asyncio.to_thread(cli.main, words)

    async def main() -> None:
        async with running(
            settings=gateway_settings, free_port=free_port, work=tmp_path
        ) as deployment:
            for page in PAGES:
                for words in _commands(page):
                    # `running` has started the gateways.
                    if words[0] != 'gateway':
                        assert await run(words, deployment) == 0, words

    asyncio.run(main())
    assert (tmp_path / 'report.html').exists()
