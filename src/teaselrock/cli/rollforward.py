"""`teaselrock rollforward`: accept an earlier version as a new one."""

import argparse

from teaselrock.cli import admin
from teaselrock.cli.admin import CliImplementations


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument('version', type=int, help='version to accept again')
    admin.add_store_option(parser)


def run(
    options: argparse.Namespace, implementations: CliImplementations
) -> int:
    """Accept the document as a new version; numbers are never reused."""
    return admin.print_outcome(
        admin.call_with_admin(
            options,
            implementations,
            lambda commands: commands.roll_forward(version=options.version),
        )
    )
