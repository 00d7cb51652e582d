"""Numbered events of the coordination layer and of the daemons.

`docs/events.md` lists them; a test compares both. Components emit them
through the `Events` port, and the daemon writes them as structured logs.
"""

import enum
from typing import Protocol


class Event(enum.IntEnum):
    """Events with stable numbers; those of removed events are not reused.

    1000: process, 1100: membership, 1200: configuration, the view of an
    installation, its store and load checks, 1300: slots, 1400: idempotency,
    1500: allowances, 1600: report, 1700: requests.
    """

    GATEWAY_STARTED = 1000
    GATEWAY_STOPPING = 1001
    GATEWAY_STOPPED = 1002
    PEER_FRAME_INVALID = 1003
    SETTINGS_RELOADED = 1004
    SETTINGS_INVALID = 1005
    CALLER_LIMITED = 1006
    MEMBER_FAILED = 1100
    MEMBER_RETURNED = 1101
    MEMBER_REMOVED = 1102
    ISOLATED = 1103
    ISOLATION_ENDED = 1104
    CONFIGURATION_IN_FORCE = 1200
    CONFIGURATION_SOURCE_LOST = 1201
    SNAPSHOT_UNREADABLE = 1202
    SERVER_DRAINS = 1203
    ROUTES_IN_FORCE = 1204
    SERVER_REGISTERED = 1205
    SERVER_GONE = 1206
    ZONES_OUT = 1207
    STORE_LOST = 1208
    STORE_REGAINED = 1209
    OBJECT_UNREADABLE = 1210
    WATCH_STARTED = 1211
    WATCH_ENDED = 1212
    CHECK_FAILED = 1213
    SERVER_RATE_LIMITED = 1214
    SERVER_RATE_LIMIT_ENDED = 1215
    SERVER_LEAVES = 1216
    SERVER_PAUSES = 1217
    STORE_RESTORED = 1218
    RELAY_FAILED = 1219
    TAKEOVER_STARTED = 1300
    TAKEOVER_ENDED = 1301
    SERVER_LIMIT_CUT = 1302
    SERVER_EJECTED = 1303
    SERVER_READMITTED = 1304
    RECORD_UNAVAILABLE = 1400
    SHARD_FULL = 1401
    ALLOWANCE_UNAVAILABLE = 1500
    AMOUNT_EXHAUSTED = 1501
    KEEPER_UNCONFIRMED = 1600
    SEGMENT_FLUSH_FAILED = 1601
    REPORT_FULL = 1602
    FAILED_WRITER_FLUSHED = 1603
    REQUEST_ENDED = 1700
    REQUEST_REFUSED = 1701
    REQUEST_REJECTED = 1702


class Events(Protocol):
    """Receives the events of all components."""

    def emit(self, *, event: Event, **fields: str | int | float) -> None:
        """Record an event; never blocks, never raises.

        Fields contain no key and no content of a request, and of its path at
        most the first segment.
        """
        ...


class RequestObserver(Protocol):
    """Receives one measurement for each request."""

    def on_request(
        self,
        *,
        customer: str,
        service: str,
        seconds: float,
        verdict: str,
        code: str,
    ) -> None:
        """Record an ended request; `code` is '' if it was answered."""
        ...


class NoEvents:
    """`Events` and `RequestObserver` that drop everything."""

    def emit(self, *, event: Event, **fields: str | int | float) -> None:
        """Drop an event."""

    def on_request(
        self,
        *,
        customer: str,
        service: str,
        seconds: float,
        verdict: str,
        code: str,
    ) -> None:
        """Drop a measurement."""
