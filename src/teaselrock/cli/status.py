"""`teaselrock status`: ask the operators' endpoints of gateways.

Without `--operators`, the gateways are found by their `members/` objects in
the store.
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
from teaselrock.cli.admin import AdminError
from teaselrock.cli.admin import AdminErrorKind
from teaselrock.cli.admin import CliServices
from teaselrock.coordination.membership.member import SeedDocument
from teaselrock.coordination.ports import Store
from teaselrock.protocol.documents import JsonDocumentCodec

TIMEOUT_S: Final = 2.0
MEMBERS: Final = 'members/'
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


def add(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    where = parser.add_mutually_exclusive_group(required=True)
    where.add_argument(
        '--operators',
        metavar='HOST:PORT',
        nargs='+',
        help="operators' endpoints of the gateways",
    )
    where.add_argument(
        '--store',
        metavar='URL',
        help="URL of the platform's object store, which lists the gateways",
    )


def run(options: argparse.Namespace, services: CliServices) -> int:
    """Print a line for each gateway; 4 if one did not answer."""
    addresses = options.operators
    if addresses is None:
        found = admin.with_store(options.store, find)
        if found.is_error():
            return admin.fail(found.error)
        addresses = found.ok
    pool = urllib3.PoolManager(retries=False)
    code = console.EXIT_OK
    console.print_result(
        '\t'.join(name.replace('_', ' ') for name in _COLUMNS)
    )
    for address in addresses:
        try:
            status = _ask(pool, address)
            status['members'] = _members(status['members'])
            cells = [status[name] for name in _COLUMNS]
        except (HTTPError, ValueError, KeyError, TypeError) as error:
            console.print_message(f'{address}: no status: {error}')
            code = console.EXIT_UNAVAILABLE
            continue
        console.print_result('\t'.join(str(cell) for cell in cells))
    return code


async def find(store: Store) -> Result[Sequence[str], AdminError]:
    """Operators' addresses of the gateways that the store lists."""
    keys: list[str] = []
    while True:
        listed = await store.list_keys(
            prefix=MEMBERS, after=keys[-1] if keys else ''
        )
        if listed.is_error():
            return Error(
                AdminError(AdminErrorKind.UNAVAILABLE, listed.error.detail)
            )
        keys += listed.ok
        if not listed.ok:
            break
    addresses = []
    for key in keys:
        got = await store.get(key=key)
        if got.is_error():
            return Error(
                AdminError(AdminErrorKind.UNAVAILABLE, got.error.detail)
            )
        if got.ok is None:
            continue
        decoded = JsonDocumentCodec().decode(
            data=got.ok.value, value_type=SeedDocument
        )
        operators = decoded.ok.get('operators') if decoded.is_ok() else None
        if operators:
            addresses.append(operators)
        else:
            console.print_message(f'{key}: no operators address')
    return Ok(addresses)


def _ask(pool: urllib3.PoolManager, address: str) -> Any:
    response = pool.request(
        'GET', f'http://{address}/status', timeout=TIMEOUT_S
    )
    if response.status != 200:
        raise ValueError(f'status {response.status}')
    return json.loads(response.data)


def _members(members: Sequence[Mapping[str, str]]) -> str:
    counts = Counter(member['state'] for member in members)
    shown = ', '.join(f'{counts[state]} {state}' for state in sorted(counts))
    return shown or 'alone'
