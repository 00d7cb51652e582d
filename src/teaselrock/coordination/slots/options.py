"""Options of the shared slots and the key of a group of servers."""

from typing import NamedTuple

from teaselrock.state import AvailabilityZone


class ServerGroup(NamedTuple):
    """The servers of a service in a zone; one allocator lends them."""

    service: str
    zone: AvailabilityZone

    @property
    def key(self) -> str:
        """Key of the group for rendezvous hashing."""
        return f'{self.service}/{self.zone}'


class SlotOptions(NamedTuple):
    """Times are in seconds.

    `takeover_s` exceeds the lease by the time that the other side of a
    partition needs to notice it. `pause_s` without a timer tick means that
    the process was paused and the books are stale. `open_asks` bounds the open
    requests to one allocator for a group, in the own region and in others:
    a slot that is granted serves the whole queue of the service.
    `preferred_uses` of a slot come before it goes to a farther instance.
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
