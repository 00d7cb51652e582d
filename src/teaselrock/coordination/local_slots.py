"""Load balancing without coordination, by the view of one instance.

Servers are chosen at random, in turn or by the requests in flight of this
instance. These are the baselines of the bench, and `standalone` uses them.
Instances do not coordinate, so together they can overload a server.
`LocalSlots` grants slots immediately, without a limit.
"""

from collections import Counter
from collections.abc import Sequence
import random
from typing import Protocol

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination.ports import BackendConnection
from teaselrock.coordination.ports import Directory
from teaselrock.coordination.ports import Slot
from teaselrock.state import AttemptOutcome
from teaselrock.state import AttemptReason
from teaselrock.state import BackendServer
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict


class ServerChooser(Protocol):
    """Chooses one of several servers."""

    def choose(
        self, *, servers: Sequence[BackendServer], in_flight: Counter[str]
    ) -> BackendServer:
        """Choose from a non-empty sequence; `in_flight` is by server id."""
        ...


class RandomChooser:
    """Chooses a random server."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, *, servers: Sequence[BackendServer], in_flight: Counter[str]
    ) -> BackendServer:
        """Choose at random."""
        return self._rng.choice(servers)


class RoundRobinChooser:
    """Chooses each server in turn."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, *, servers: Sequence[BackendServer], in_flight: Counter[str]
    ) -> BackendServer:
        """Choose the next server."""
        self._next += 1
        return servers[self._next % len(servers)]


class TwoChoicesChooser:
    """Chooses the less loaded of two random servers.

    Load is the number of this instance's requests in flight.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, *, servers: Sequence[BackendServer], in_flight: Counter[str]
    ) -> BackendServer:
        """Choose the less loaded of two random servers."""
        pair = self._rng.sample(servers, min(2, len(servers)))
        return min(pair, key=lambda server: in_flight[server.server_id])


class LocalSlot:
    """A slot that is counted by this instance only."""

    def __init__(
        self,
        *,
        server: BackendServer,
        reason: AttemptReason,
        in_flight: Counter[str],
    ) -> None:
        self._server = server
        self._reason = reason
        self._in_flight = in_flight
        in_flight[server.server_id] += 1

    @property
    def server(self) -> BackendServer:
        """The server that the slot is for."""
        return self._server

    @property
    def start_id(self) -> str:
        """Always '': local slots are not bound to a start of the server."""
        return ''

    @property
    def reason(self) -> AttemptReason:
        """Why this server was chosen."""
        return self._reason

    @property
    def evidence(self) -> str:
        """Always '': the choice uses no load report."""
        return ''

    @property
    def is_valid(self) -> bool:
        """Always True: local slots do not expire."""
        return True

    @property
    def connection(self) -> BackendConnection | None:
        """Always None: the connection comes from the pool."""
        return None

    def release(self, *, outcome: AttemptOutcome | None) -> None:
        """Release the slot; the outcome is not used."""
        self._in_flight[self._server.server_id] -= 1


class LocalSlots:
    """`SlotSource` that grants slots of chosen servers, without a limit."""

    def __init__(
        self, *, directory: Directory, chooser: ServerChooser
    ) -> None:
        self._directory = directory
        self._chooser = chooser
        self._in_flight: Counter[str] = Counter()

    async def acquire(
        self,
        *,
        request: Request,
        regions: frozenset[str],
        weight: int,
        exclude: frozenset[str],
        reason: AttemptReason | None,
    ) -> Result[Slot, Refusal]:
        """Grant a slot of a chosen server immediately."""
        servers = [
            server
            for server in self._directory.backend_servers(
                service=request.service
            )
            if server.zone.region in regions
            and server.server_id not in exclude
        ]
        if not servers:
            return Error(
                Refusal(
                    RefusalCode.NO_BACKEND,
                    Verdict.DID_NOT_RUN,
                    f'no untried server of {request.service} is in service',
                    retry_after=1.0,
                )
            )
        server = self._chooser.choose(
            servers=servers, in_flight=self._in_flight
        )
        return Ok(
            LocalSlot(
                server=server,
                reason=reason or AttemptReason.LOCAL,
                in_flight=self._in_flight,
            )
        )
