"""Lookup of customers and services, and checks of request targets.

Customers are found by API key, services by path, for `front_end`.

The tables are built once for each configuration, so that the cost of a
request does not grow with the number of customers or services.
"""

import hashlib
import re
from typing import Final
from urllib.parse import unquote

from teaselrock.state.configuration import Document

# A path is checked after each of this many rounds of percent-decoding, since
# servers behind the gateway may decode it repeatedly.
_DECODING_ROUNDS: Final = 3
_VALID_TARGET: Final = re.compile(r'/[\x21\x22\x24-\x7e]*')
_PATH_SEPARATOR: Final = re.compile(r'[/\\]')


def target_error(target: str) -> str | None:
    """Reason to refuse a request target, None if it is accepted.

    Dot segments are refused: a backend server that resolves them could
    reach a path outside the prefix by which the service was chosen.
    """
    if _VALID_TARGET.fullmatch(target) is None:
        return 'the target must be a path of printable ASCII characters'
    path = target.partition('?')[0]
    for _ in range(_DECODING_ROUNDS):
        if any(part in ('.', '..') for part in _PATH_SEPARATOR.split(path)):
            return 'the path must not contain dot segments'
        path = unquote(path)
    return None


class LookupTables:
    """Customers by key digest and services by prefix, of one document."""

    def __init__(self, *, document: Document) -> None:
        self._document = document
        self._customers = {
            digest: name
            for name, customer in document['customers'].items()
            for digest in customer['key_sha256']
        }
        self._services = {
            service['prefix'].rstrip('/'): name
            for name, service in document['services'].items()
        }

    @property
    def document(self) -> Document:
        """The document that the tables were built from."""
        return self._document

    def customer(self, *, key: str) -> str | None:
        """Name of the customer that owns an API key, None if unknown."""
        digest = hashlib.sha256(key.encode(errors='surrogateescape'))
        return self._customers.get(digest.hexdigest())

    def service(self, *, target: str) -> str | None:
        """Service whose prefix is the longest match of the target's path.

        Paths are compared without percent-decoding. None if no prefix
        matches.
        """
        path = target.partition('?')[0].rstrip('/')
        while True:
            name = self._services.get(path)
            if name is not None or not path:
                return name
            path = path.rpartition('/')[0]
