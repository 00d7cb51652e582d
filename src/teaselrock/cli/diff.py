"""`teaselrock diff`: print a diff of two versions of the configuration."""

import argparse
import difflib
import json

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.cli import admin
from teaselrock.cli import console
from teaselrock.cli.admin import CliImplementations
from teaselrock.cli.admin import CommandError
from teaselrock.cli.admin import ConfigurationCommands
from teaselrock.state.configuration import Document


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument('old', type=int, help='a version')
    parser.add_argument('new', type=int, help='another version')
    admin.add_store_option(parser)


def run(
    options: argparse.Namespace, implementations: CliImplementations
) -> int:
    """Print a unified diff of the two documents."""
    documents = admin.call_with_admin(
        options,
        implementations,
        lambda commands: _read_documents(commands, options.old, options.new),
    )
    if documents.is_error():
        return admin.print_error(documents.error)
    old, new = documents.ok
    for line in difflib.unified_diff(
        _lines(old),
        _lines(new),
        f'version {options.old}',
        f'version {options.new}',
        lineterm='',
    ):
        console.print_result(line)
    return console.EXIT_OK


async def _read_documents(
    commands: ConfigurationCommands, old: int, new: int
) -> Result[tuple[Document, Document], CommandError]:
    first = await commands.document_at(version=old)
    if first.is_error():
        return Error(first.error)
    second = await commands.document_at(version=new)
    if second.is_error():
        return Error(second.error)
    return Ok((first.ok, second.ok))


def _lines(document: Document) -> list[str]:
    return json.dumps(document, indent=2, sort_keys=True).splitlines()
