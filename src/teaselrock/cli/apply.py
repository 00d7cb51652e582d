"""`teaselrock apply`: accept a configuration file as the new version."""

import argparse

from expression import Error
from expression import Result

from teaselrock.cli import admin
from teaselrock.cli import check
from teaselrock.cli import console
from teaselrock.cli.admin import CliImplementations
from teaselrock.cli.admin import CommandError
from teaselrock.cli.admin import ConfigurationCommands
from teaselrock.state.configuration import Document


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    check.add_arguments(parser)
    admin.add_store_option(parser)
    parser.add_argument(
        '--expect',
        type=int,
        metavar='VERSION',
        help='version that the file is based on (default: the newest)',
    )


def run(
    options: argparse.Namespace, implementations: CliImplementations
) -> int:
    """Check the file, then apply it if the expected version is the newest."""
    document = check.read_configuration(options.file, implementations)
    if document is None:
        return console.EXIT_FAILED
    return admin.print_outcome(
        admin.call_with_admin(
            options,
            implementations,
            lambda commands: _apply(commands, document, options.expect),
        )
    )


async def _apply(
    commands: ConfigurationCommands,
    document: Document,
    expected_version: int | None,
) -> Result[int, CommandError]:
    if expected_version is None:
        console.print_message('reading the newest version')
        current = await commands.current()
        if current.is_error():
            return Error(current.error)
        expected_version = current.ok[0]
    console.print_message(f'replacing version {expected_version}')
    return await commands.apply(
        document=document, expected_version=expected_version
    )
