"""Entry point of the `teaselrock` command.

Each command is a module with `add_arguments` and `run`. A command whose
implementation is missing from `CliImplementations` is not offered.
"""

import argparse
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import os
import sys
from typing import Final
from typing import NamedTuple

from teaselrock.cli import apply
from teaselrock.cli import check
from teaselrock.cli import console
from teaselrock.cli import diff
from teaselrock.cli import explain
from teaselrock.cli import out_of_service
from teaselrock.cli import report
from teaselrock.cli import rollforward
from teaselrock.cli import serve
from teaselrock.cli import status
from teaselrock.cli import versions
from teaselrock.cli.admin import CliImplementations
from teaselrock.cli.admin import CommandFunction
from teaselrock.cli.services import IMPLEMENTATIONS


class _Command(NamedTuple):
    name: str
    help_text: str
    add_arguments: Callable[[argparse.ArgumentParser], None]
    run: CommandFunction


_BASE_COMMANDS: Final = (
    _Command(
        'check', 'check a configuration file', check.add_arguments, check.run
    ),
    _Command(
        'status',
        'show the state of gateways',
        status.add_arguments,
        status.run,
    ),
    _Command(
        'explain',
        'explain one request from the logs of gateways',
        explain.add_arguments,
        explain.run,
    ),
    _Command('gateway', 'run a gateway', serve.add_arguments, serve.run),
)
_ADMIN_COMMANDS: Final = (
    _Command(
        'apply', 'accept a configuration file', apply.add_arguments, apply.run
    ),
    _Command(
        'versions',
        'list versions of the configuration',
        versions.add_arguments,
        versions.run,
    ),
    _Command(
        'diff',
        'compare two versions of the configuration',
        diff.add_arguments,
        diff.run,
    ),
    _Command(
        'rollforward',
        'accept an earlier version of the configuration again',
        rollforward.add_arguments,
        rollforward.run,
    ),
    _Command(
        'zone',
        'take a zone out of service or back in',
        out_of_service.add_arguments,
        out_of_service.run,
    ),
    _Command(
        'instance',
        'take an instance out of service or back in',
        out_of_service.add_arguments,
        out_of_service.run,
    ),
    _Command(
        'server',
        'take a backend server out of service or back in',
        out_of_service.add_arguments,
        out_of_service.run,
    ),
)
_REPORT_COMMANDS: Final = (
    _Command('report', 'print the report', report.add_arguments, report.run),
)


def _commands(implementations: CliImplementations) -> Iterator[_Command]:
    yield from _BASE_COMMANDS
    if implementations.admin is not None:
        yield from _ADMIN_COMMANDS
    if implementations.report is not None:
        yield from _REPORT_COMMANDS


def make_parser(
    implementations: CliImplementations,
) -> argparse.ArgumentParser:
    """Parser of the commands whose implementations are available."""
    parser = argparse.ArgumentParser(
        prog='teaselrock',
        description='Load balancer and its operations.',
        epilog=console.EXIT_CODES_HELP,
    )
    commands = parser.add_subparsers(dest='command', required=True)
    for command in _commands(implementations):
        subparser = commands.add_parser(
            command.name,
            help=command.help_text,
            description=command.help_text,
            epilog=console.EXIT_CODES_HELP,
        )
        command.add_arguments(subparser)
        subparser.set_defaults(run=command.run)
    return parser


def main(
    arguments: Sequence[str] | None = None,
    implementations: CliImplementations = IMPLEMENTATIONS,
) -> int:
    """Run the command; returns the exit code."""
    options = make_parser(implementations).parse_args(arguments)
    run: CommandFunction = options.run
    try:
        code = run(options, implementations)
        sys.stdout.flush()
        return code
    except BrokenPipeError:
        # The reader of the output, such as `head`, closed the pipe. Without
        # the redirection, the flush at the interpreter's exit would fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return console.EXIT_OK
    except KeyboardInterrupt:
        console.print_message('interrupted')
        return console.EXIT_FAILED


if __name__ == '__main__':
    raise SystemExit(main())
