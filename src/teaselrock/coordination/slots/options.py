"""`SlotOptions`, and `ServerGroup`: the servers of a service in a zone."""

from typing import NamedTuple

from teaselrock.state import AvailabilityZone


class ServerGroup(NamedTuple):
    """The servers of a service in a zone; one allocator lends their units."""

    service: str
    zone: AvailabilityZone

    @property
    def key(self) -> str:
        """Key of the group for rendezvous hashing and for codes."""
        return f'{self.service}/{self.zone}'


class SlotOptions(NamedTuple):
    """Options of allocators and borrowers; times are in seconds.

    Leases:

    - `lease_s`: duration of a lease; `renew_interval_s`: time between
      renewals.
    - `idle_timeout_s`: an idle lease is returned after this time.
    - `return_batch_s`, `outcome_batch_s`: how long returned leases and urgent
      outcomes wait for others to share a message.
    - `cancel_grace_s`: time after a cancelled or timed-out request until its
      lease is returned.
    - `contended_uses`, `preferred_uses`: requests that may use a lease before
      its return, while a borrower at least as near waits, and otherwise if
      units are scarce, a farther borrower waits or the group is in another
      zone than the borrower.

    Slot requests:

    - `retry_interval_s`, `max_retry_interval_s`: first and longest interval
      at which they are repeated.
    - `region_spill_wait_s`, `remote_spill_wait_s`: wait before a lease is
      requested in another zone of the own region, and in another region.
    - `max_region_requests`, `max_remote_requests`: pending slot requests for
      one group in the own region and in another one. Few are enough, since a
      granted lease serves the whole queue of the service.
    - `max_queued_per_customer`, `max_queued_per_service`: waiting requests.

    Allocators:

    - `takeover_timeout_s`: longest wait for answers to lease queries. It
      exceeds `lease_s` by the time that the other side of a partition needs
      to detect the partition.
    - `query_interval_s`: time between the timer ticks, which repeat lease
      queries and drop expired leases.
    - `pause_threshold_s`: this time without a timer tick means that the
      process was paused and the allocator's state is stale.
    - `recall_interval_s`: time until leases are searched again for one to
      recall, after none was found.
    - `refresh_interval_s`: age at which the servers of a service are read
      again from the directory.
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
