"""Exchange of instance status in pings and acks.

`detector` sends and receives the status; `control` sets its source, and other
components listen for that of peers.
"""

from collections.abc import Callable
from typing import Protocol

from teaselrock.coordination.membership.messages import MemberStatus


class StatusListener(Protocol):
    """Callback for the status of a peer."""

    def __call__(self, *, sender: str, status: MemberStatus) -> None:
        """Handle a peer's status; must not block."""
        ...


class StatusExchange:
    """Source of the own status, and listeners for the status of peers."""

    def __init__(self) -> None:
        self._own_status_source: Callable[[], MemberStatus] = MemberStatus
        self._listeners: list[StatusListener] = []

    def own_status(self) -> MemberStatus:
        """Current status of this instance."""
        return self._own_status_source()

    def set_own_status_source(
        self, source: Callable[[], MemberStatus]
    ) -> None:
        """Set the function that returns the own status."""
        self._own_status_source = source

    def add_listener(self, listener: StatusListener) -> None:
        """Call `listener` with each status that arrives."""
        self._listeners.append(listener)

    def notify(self, *, sender: str, status: MemberStatus) -> None:
        """Call the listeners with the status of a peer."""
        for listener in self._listeners:
            listener(sender=sender, status=status)
