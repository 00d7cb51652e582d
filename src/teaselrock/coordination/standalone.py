"""Assembly of an instance without peers and store, for development and tests.

It implements `RunnableInstance`. Configuration and servers are given at the
start, and nothing is shared or stored.
"""

import random

from teaselrock.coordination.attempts import AttemptRunner
from teaselrock.coordination.connections import ConnectionPool
from teaselrock.coordination.dispatch import Dispatcher
from teaselrock.coordination.in_memory import FixedDirectory
from teaselrock.coordination.in_memory import InMemoryRecords
from teaselrock.coordination.in_memory import NoExtraAttempts
from teaselrock.coordination.in_memory import NoReport
from teaselrock.coordination.in_memory import UnlimitedAllowances
from teaselrock.coordination.local_slots import LocalSlots
from teaselrock.coordination.local_slots import TwoChoicesChooser
from teaselrock.coordination.plan_admission import PlanAdmission
from teaselrock.coordination.ports import BackendConnector
from teaselrock.coordination.ports import Directory
from teaselrock.state import Instance


class StandaloneInstance:
    """An instance without peers and without a store."""

    def __init__(
        self,
        *,
        own: Instance,
        connector: BackendConnector,
        directory: FixedDirectory,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._connections = ConnectionPool(connector=connector)
        no_extra_attempts = NoExtraAttempts()
        self._dispatcher = Dispatcher(
            readiness=directory,
            admission=PlanAdmission(own=own, directory=directory),
            attempts=AttemptRunner(
                slot_source=LocalSlots(
                    directory=directory, chooser=TwoChoicesChooser(rng=rng)
                ),
                connections=self._connections,
                budget=no_extra_attempts,
                hedge_policy=no_extra_attempts,
            ),
            records=InMemoryRecords(),
            allowances=UnlimitedAllowances(),
            report=NoReport(),
        )

    @property
    def dispatcher(self) -> Dispatcher:
        """Dispatcher of the requests of this instance."""
        return self._dispatcher

    @property
    def directory(self) -> Directory:
        """The configuration in force and the servers in service."""
        return self._directory

    async def start(self) -> None:
        """Do nothing; there are no tasks."""

    async def stop(self) -> None:
        """Refuse new requests and finish those in flight."""
        self._directory.stop()
        await self._dispatcher.drain()
        await self._connections.close()
