"""Assembly of the control plane of one instance.

`instance` adds the data path; the bench and the tests also use the control
plane alone.
"""

from collections.abc import Sequence
import random

from teaselrock.coordination.configuration_pruning import SnapshotPruner
from teaselrock.coordination.control_budget import BudgetRates
from teaselrock.coordination.control_budget import ControlBudget
from teaselrock.coordination.directory import LiveDirectory
from teaselrock.coordination.dissemination import ConfigurationSync
from teaselrock.coordination.dissemination import FactTable
from teaselrock.coordination.dissemination import INSTANCE
from teaselrock.coordination.events import Events
from teaselrock.coordination.events import NoEvents
from teaselrock.coordination.membership import Membership
from teaselrock.coordination.membership import MemberStatus
from teaselrock.coordination.peers import PeerHub
from teaselrock.coordination.ports import DocumentCodec
from teaselrock.coordination.ports import PeerLink
from teaselrock.coordination.ports import PlatformList
from teaselrock.coordination.ports import Store
from teaselrock.state import Instance


class ControlPlane:
    """Peers, membership, configuration, facts and directory.

    Facts record which servers and instances are leaving.
    """

    def __init__(
        self,
        *,
        own: Instance,
        incarnation: int,
        link: PeerLink,
        store: Store,
        platform: PlatformList,
        codec: DocumentCodec,
        seeds: Sequence[Instance],
        rng: random.Random,
        rates: BudgetRates = BudgetRates(),
        operators: str = '',
        events: Events = NoEvents(),
    ) -> None:
        self._incarnation = incarnation
        self._hub = PeerHub(
            own=own, link=link, budget=ControlBudget(rates=rates)
        )
        self._membership = Membership(
            own=own,
            incarnation=incarnation,
            hub=self._hub,
            store=store,
            platform=platform,
            codec=codec,
            seeds=seeds,
            operators=operators,
            rng=rng,
            events=events,
        )
        self._configuration = ConfigurationSync(
            hub=self._hub,
            membership=self._membership,
            store=store,
            codec=codec,
            rng=rng,
            events=events,
        )
        self._facts = FactTable(
            hub=self._hub, view=self._membership, rng=rng, events=events
        )
        self._directory = LiveDirectory(
            configuration=self._configuration,
            facts=self._facts,
            membership=self._membership,
            platform=platform,
        )
        self._pruner = SnapshotPruner(
            store=store, codec=codec, view=self._membership, rng=rng
        )
        self._membership.exchange.add_listener(self._facts.on_status)
        self._membership.exchange.set_own_status_source(self._member_status)

    @property
    def hub(self) -> PeerHub:
        """The `Peers` port of this instance."""
        return self._hub

    @property
    def membership(self) -> Membership:
        """The `MemberView` port of this instance."""
        return self._membership

    @property
    def configuration(self) -> ConfigurationSync:
        """The configuration in force."""
        return self._configuration

    @property
    def facts(self) -> FactTable:
        """Facts: which servers and instances are leaving."""
        return self._facts

    @property
    def directory(self) -> LiveDirectory:
        """The `Directory` port of this instance."""
        return self._directory

    def start(self) -> None:
        """Start all tasks; message handlers must be registered before."""
        self._hub.start()
        self._facts.start()
        self._directory.start()
        self._membership.start()
        self._configuration.start()
        self._pruner.start()

    def begin_stop(self) -> None:
        """Refuse new requests and announce the shutdown to the peers."""
        self._directory.stop()
        self._membership.announce_leaving()
        own = self._membership.own
        self._facts.announce(
            kind=INSTANCE,
            subject=own.instance_id,
            start_id=str(self._incarnation),
            is_leaving=True,
        )

    async def leave(self) -> None:
        """Leave the fleet at the end of a graceful shutdown."""
        await self._pruner.stop()
        await self._configuration.stop()
        await self._directory.close()
        await self._membership.leave()
        await self._hub.stop()

    async def kill(self) -> None:
        """End all tasks as a crash does, without leaving; for tests."""
        await self._pruner.stop()
        await self._configuration.stop()
        await self._directory.close()
        await self._membership.stop()
        await self._hub.stop()

    def _member_status(self) -> MemberStatus:
        return MemberStatus(
            self._configuration.version,
            self._directory.is_ready,
            self._facts.digest,
        )
