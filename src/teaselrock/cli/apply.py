"""`teaselrock apply`: accept a configuration file as the new version."""

import argparse

from expression import Error
from expression import Result

from teaselrock.cli import admin
from teaselrock.cli import check
from teaselrock.cli import console
from teaselrock.cli.admin import AdminError
from teaselrock.cli.admin import CliServices
from teaselrock.cli.admin import ConfigurationAdmin
from teaselrock.state.configuration import Document


def add(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    check.add(parser)
    admin.add_store(parser)
    parser.add_argument(
        '--expect',
        type=int,
        metavar='VERSION',
        help='version that the file is based on (default: the newest)',
    )


def run(options: argparse.Namespace, services: CliServices) -> int:
    """Check the file, then apply it conditionally."""
    document = check.read(options.file, services)
    if document is None:
        return console.EXIT_REFUSED
    return admin.finish(
        admin.with_admin(
            options,
            services,
            lambda target: _apply(target, document, options.expect),
        )
    )


async def _apply(
    target: ConfigurationAdmin,
    document: Document,
    expected_version: int | None,
) -> Result[int, AdminError]:
    if expected_version is None:
        console.print_message('reading the newest version')
        current = await target.current()
        if current.is_error():
            return Error(current.error)
        expected_version = current.ok[0]
    console.print_message(f'replacing version {expected_version}')
    return await target.apply(
        document=document, expected_version=expected_version
    )
