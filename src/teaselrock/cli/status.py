"""`teaselrock status`: print the status of gateways.

Reads the operators' endpoints. Without `--operators`, their addresses are
read from the `members/` objects in the store.
"""

import argparse
from collections import Counter
from collections.abc import Mapping
from collections.abc import Sequence
import json
from typing import Any
from typing import Final

from expression import Error
from expression import Ok
from expression import Result
import urllib3
from urllib3.exceptions import HTTPError

from teaselrock.cli import admin
from teaselrock.cli import console
from teaselrock.cli.admin import CliImplementations
from teaselrock.cli.admin import CommandError
from teaselrock.cli.admin import CommandErrorKind
from teaselrock.coordination.membership.member import SeedDocument
from teaselrock.coordination.ports import Store
from teaselrock.protocol.document_codec import JsonDocumentCodec
from teaselrock.transport.http_pool import create_pool

REQUEST_TIMEOUT_S: Final = 2.0
MEMBER_KEY_PREFIX: Final = 'members/'
_COLUMNS: Final = (
    'instance',
    'region',
    'zone',
    'version',
    'ready',
    'in_flight',
    'members',
    'slots_held',
    'slots_lent',
    'rows_unconfirmed',
    'control_bytes',
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument(
        '--operators',
        metavar='HOST:PORT',
        nargs='+',
        help="operators' endpoints of the gateways",
    )
    source.add_argument(
        '--store',
        metavar='URL',
        help="URL of the platform's object store, which lists the gateways",
    )


def run(
    options: argparse.Namespace, implementations: CliImplementations
) -> int:
    """Print a line for each gateway; exit code 4 if one has no status."""
    addresses = options.operators
    if addresses is None:
        listed = admin.call_with_store(options.store, find_addresses)
        if listed.is_error():
            return admin.print_error(listed.error)
        addresses = listed.ok
    pool = create_pool()
    code = console.EXIT_OK
    console.print_result(
        '\t'.join(name.replace('_', ' ') for name in _COLUMNS)
    )
    for address in addresses:
        try:
            status = _fetch_status(pool, address)
            status['members'] = _count_members(status['members'])
            cells = [status[name] for name in _COLUMNS]
        except (HTTPError, ValueError, KeyError, TypeError) as error:
            console.print_message(
                f'{address}: no usable status, missing or invalid: {error}'
            )
            code = console.EXIT_UNAVAILABLE
            continue
        console.print_result('\t'.join(str(cell) for cell in cells))
    return code


async def find_addresses(store: Store) -> Result[Sequence[str], CommandError]:
    """Addresses of the operators' endpoints that the store lists."""
    keys: list[str] = []
    while True:
        listed = await store.list_keys(
            prefix=MEMBER_KEY_PREFIX, after=keys[-1] if keys else ''
        )
        if listed.is_error():
            return Error(
                CommandError(CommandErrorKind.UNAVAILABLE, listed.error.detail)
            )
        keys += listed.ok
        if not listed.ok:
            break
    addresses = []
    for key in keys:
        read = await store.get(key=key)
        if read.is_error():
            return Error(
                CommandError(CommandErrorKind.UNAVAILABLE, read.error.detail)
            )
        if read.ok is None:
            continue
        decoded = JsonDocumentCodec().decode(
            data=read.ok.value, value_type=SeedDocument
        )
        address = decoded.ok.get('operators') if decoded.is_ok() else None
        if address:
            addresses.append(address)
        else:
            console.print_message(
                f'{key}: the member has no operators_listen address'
            )
    return Ok(addresses)


def _fetch_status(pool: urllib3.PoolManager, address: str) -> Any:
    response = pool.request(
        'GET', f'http://{address}/status', timeout=REQUEST_TIMEOUT_S
    )
    if response.status != 200:
        raise ValueError(f'HTTP status {response.status}')
    return json.loads(response.data)


def _count_members(members: Sequence[Mapping[str, str]]) -> str:
    counts = Counter(member['state'] for member in members)
    text = ', '.join(f'{counts[state]} {state}' for state in sorted(counts))
    return text or 'alone'
