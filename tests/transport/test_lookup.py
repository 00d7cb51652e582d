"""Lookup of customers by API key and of services by path."""

import hashlib

from teaselrock.state.configuration import empty_document
from teaselrock.transport import lookup


def test_lookup_is_built_once() -> None:
    """Guards against a search through the whole document for each request.

    The document is emptied after the tables are built.
    """
    document = empty_document()
    document['customers']['press'] = {
        'plan': 'p',
        'key_sha256': [hashlib.sha256(b'secret').hexdigest()],
    }
    for name in ('desk', 'desk-archive'):
        document['services'][name] = {
            'prefix': f'/{name}',
            'concurrency': 2,
            'deadline_ms': 60_000,
            'non_idempotent_methods': ['POST'],
        }
    tables = lookup.LookupTables(document=document)
    document['customers'].clear()
    document['services'].clear()
    assert tables.customer(key='secret') == 'press'
    assert tables.service(target='/desk/a/b/?q=/x') == 'desk'
    assert tables.service(target='/desk-archive') == 'desk-archive'
    assert tables.service(target='/deskx/a') is None
