"""Short codes for names in slot messages.

A code is a 32-bit hash of the name. The sender uses it only if it is unique
among its own names, and else sends the full name. Receivers resolve codes
among their own names, so a collision costs at worst a declined grant.
"""

from collections.abc import Iterable
import zlib

from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.coordination.slots.views import ServerCatalogue
from teaselrock.state import AvailabilityZone
from teaselrock.state import BackendServer

NameCode = int | str


def short_code(name: str) -> int:
    """The 32-bit hash that stands for a name."""
    return zlib.crc32(name.encode())


def matches_code(*, name: str, code: NameCode) -> bool:
    """Whether a code is the name itself or its hash."""
    return code in (name, short_code(name))


def find_server(
    *, servers: Iterable[BackendServer], code: NameCode
) -> BackendServer | None:
    """The server whose id matches a code, None if not exactly one matches."""
    found = [
        server
        for server in servers
        if matches_code(name=server.server_id, code=code)
    ]
    return found[0] if len(found) == 1 else None


class GroupCodes:
    """Codes of the groups of all services in the configuration."""

    def __init__(self, *, catalogue: ServerCatalogue) -> None:
        self._catalogue = catalogue
        self._codes: dict[ServerGroup, int] = {}
        self._groups: dict[int, ServerGroup] = {}
        self._ambiguous: set[int] = set()

    def code_of(self, group: ServerGroup) -> NameCode:
        """The code of a group, or its key if the code is not unique."""
        if group not in self._codes:
            self._load_groups()
            self._register(group)
        code = self._codes[group]
        return group.key if code in self._ambiguous else code

    def group_of(self, code: NameCode) -> ServerGroup | None:
        """The group that a code or key stands for, None if it is unknown."""
        if isinstance(code, str):
            parts = code.rsplit('/', 2)
            if len(parts) < 3:
                return None
            return ServerGroup(parts[0], AvailabilityZone(parts[1], parts[2]))
        if code not in self._groups:
            self._load_groups()
        return self._groups.get(code)

    def _load_groups(self) -> None:
        for group in self._catalogue.groups():
            self._register(group)

    def _register(self, group: ServerGroup) -> None:
        code = self._codes[group] = short_code(group.key)
        if self._groups.setdefault(code, group) != group:
            self._ambiguous.add(code)
