"""Options of the shared slots, and the groups that servers form."""

from typing import NamedTuple

from teaselrock.state import AvailabilityZone


class ServerGroup(NamedTuple):
    """The servers of a service in a zone; one allocator lends their slots."""

    service: str
    zone: AvailabilityZone

    @property
    def key(self) -> str:
        """Key of the group for rendezvous hashing and for codes."""
        return f'{self.service}/{self.zone}'


class SlotOptions(NamedTuple):
    """Options of allocators and borrowers; times are in seconds.

    `takeover_timeout_s` exceeds the lease by the time that the other side of
    a partition needs to notice the partition. `pause_threshold_s` without a
    timer tick means that the process was paused and the allocator's state is
    stale. `max_region_requests` and `max_remote_requests` bound the pending
    slot requests for one group in the own region and in another one; few are
    enough, since a granted slot serves the whole queue of the service. A slot
    serves `preferred_uses` requests before it goes to a farther instance.
    """

    lease_s: float = 2.0
    renew_interval_s: float = 0.6
    takeover_timeout_s: float = 2.5
    query_interval_s: float = 0.2
    pause_threshold_s: float = 1.0
    idle_timeout_s: float = 0.5
    return_batch_s: float = 0.0
    outcome_batch_s: float = 0.0005
    retry_interval_s: float = 0.2
    max_retry_interval_s: float = 0.4
    region_spill_wait_s: float = 0.002
    remote_spill_wait_s: float = 0.016
    recall_interval_s: float = 0.01
    refresh_interval_s: float = 0.1
    cancel_grace_s: float = 0.01
    contended_uses: int = 2
    preferred_uses: int = 100
    max_region_requests: int = 2
    max_remote_requests: int = 1
    max_queued_per_customer: int = 100
    max_queued_per_service: int = 400
