"""`teaselrock gateway`: run the gateway of `daemon.gateway`."""

import argparse
import pathlib

from teaselrock.cli.admin import CliImplementations
from teaselrock.daemon import gateway


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument(
        '--config',
        type=pathlib.Path,
        required=True,
        help='settings file, JSON with comments',
    )


def run(
    options: argparse.Namespace, implementations: CliImplementations
) -> int:
    """Run until SIGTERM or SIGINT."""
    return gateway.run(options.config)
