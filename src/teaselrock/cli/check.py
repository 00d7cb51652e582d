"""`teaselrock check`: check a configuration without applying it."""

import argparse
import pathlib

from teaselrock.cli import console
from teaselrock.cli.admin import CliImplementations
from teaselrock.protocol import checker
from teaselrock.state.configuration import Document


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument(
        'file', type=pathlib.Path, help='configuration, JSON with comments'
    )


def read_configuration(
    path: pathlib.Path, implementations: CliImplementations
) -> Document | None:
    """Read and check a file; prints errors and returns None if invalid."""
    try:
        text = path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        console.print_message(f'{path}: cannot read the file: {error}')
        return None
    checked = checker.check_configuration(text, rules=implementations.rules)
    if checked.is_ok():
        return checked.ok
    for diagnostic in checked.error:
        console.print_message(f'{path}:{diagnostic}')
    console.print_message(f'{path}: {len(checked.error)} errors')
    return None


def run(
    options: argparse.Namespace, implementations: CliImplementations
) -> int:
    """Check the file and print all errors."""
    document = read_configuration(options.file, implementations)
    if document is None:
        return console.EXIT_FAILED
    console.print_result(
        f'{options.file}: valid; {len(document["customers"])} customers, '
        f'{len(document["plans"])} plans, '
        f'{len(document["services"])} services'
    )
    return console.EXIT_OK
