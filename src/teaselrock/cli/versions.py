"""`teaselrock versions`: list the accepted configuration versions."""

import argparse

from teaselrock.cli import admin
from teaselrock.cli import console
from teaselrock.cli.admin import CliImplementations


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    admin.add_store_option(parser)


def run(
    options: argparse.Namespace, implementations: CliImplementations
) -> int:
    """Print one line for each version, the newest last."""
    listed = admin.call_with_admin(
        options, implementations, lambda commands: commands.versions()
    )
    if listed.is_error():
        return admin.print_error(listed.error)
    for version in listed.ok:
        console.print_result(f'{version.number}\t{version.summary}')
    return console.EXIT_OK
