"""`teaselrock versions`: list the accepted versions."""

import argparse

from teaselrock.cli import admin
from teaselrock.cli import console
from teaselrock.cli.admin import CliServices


def add(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    admin.add_store(parser)


def run(options: argparse.Namespace, services: CliServices) -> int:
    """Print one line for each version, the newest last."""
    listed = admin.with_admin(
        options, services, lambda target: target.versions()
    )
    if listed.is_error():
        return admin.fail(listed.error)
    for version in listed.ok:
        console.print_result(f'{version.number}\t{version.summary}')
    return console.EXIT_OK
