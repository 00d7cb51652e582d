"""Status that pings and acks carry for the other parts."""

from collections.abc import Callable
from typing import Protocol

from teaselrock.coordination.membership.messages import MemberStatus


class StatusListener(Protocol):
    """Is told what a peer says about itself."""

    def __call__(self, *, sender: str, status: MemberStatus) -> None:
        """Handle a peer's status; must not block."""
        ...


class StatusExchange:
    """The own status to send, and the listeners for those of peers."""

    def __init__(self) -> None:
        self._own_status_source: Callable[[], MemberStatus] = MemberStatus
        self._listeners: list[StatusListener] = []

    def own_status(self) -> MemberStatus:
        """The own status now."""
        return self._own_status_source()

    def set_own_status_source(
        self, source: Callable[[], MemberStatus]
    ) -> None:
        """Take the own status from `source`."""
        self._own_status_source = source

    def add_listener(self, listener: StatusListener) -> None:
        """Tell `listener` each status that arrives."""
        self._listeners.append(listener)

    def notify(self, *, sender: str, status: MemberStatus) -> None:
        """Tell the listeners the status of a peer."""
        for listener in self._listeners:
            listener(sender=sender, status=status)
