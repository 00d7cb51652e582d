"""Messages between an instance that needs a permit and a lender."""

from typing import NamedTuple


class PermitRequest(NamedTuple):
    """Requests a permit for one request to a server.

    `rate` is what the server takes per second from all instances, as the
    sender last heard from it.
    """

    number: int
    server_id: str
    rate: float


class PermitResponse(NamedTuple):
    """Grants or denies the permit that request `number` asks for.

    `is_lending` is False while the sender grants no permits to anyone.
    `retry_after` is the number of seconds until a permit may be free.
    """

    number: int
    is_granted: bool
    is_lending: bool
    retry_after: float
