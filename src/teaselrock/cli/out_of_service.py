"""`teaselrock zone`, `instance`, `server`: take out of service or back in."""

import argparse
from collections.abc import Mapping
import re
from typing import Final

from teaselrock.cli import admin
from teaselrock.cli import console
from teaselrock.cli.admin import CliImplementations
from teaselrock.cli.admin import OutOfServiceSection

SECTION_BY_COMMAND: Final[Mapping[str, OutOfServiceSection]] = {
    'zone': OutOfServiceSection.ZONES,
    'instance': OutOfServiceSection.INSTANCES,
    'server': OutOfServiceSection.SERVERS,
}
_ZONE_NAME: Final = re.compile(r'[^/\s]+/[^/\s]+')


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument('direction', choices=('out', 'in'))
    parser.add_argument('name', help='id; for a zone, REGION/ZONE')
    parser.add_argument('--reason', help='needed to take out of service')
    admin.add_store_option(parser)


def run(
    options: argparse.Namespace, implementations: CliImplementations
) -> int:
    """Change one entry; other entries stay as they are."""
    if options.command == 'zone' and not _ZONE_NAME.fullmatch(options.name):
        console.print_message(f'{options.name}: a zone is named REGION/ZONE')
        return console.EXIT_USAGE
    if options.direction == 'out' and not options.reason:
        console.print_message(
            '--reason is needed to take something out of service'
        )
        return console.EXIT_USAGE
    reason = options.reason if options.direction == 'out' else None
    return admin.print_outcome(
        admin.call_with_admin(
            options,
            implementations,
            lambda commands: commands.set_out_of_service(
                section=SECTION_BY_COMMAND[options.command],
                name=options.name,
                reason=reason,
            ),
        )
    )
