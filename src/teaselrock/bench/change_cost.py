"""Cost of one change of the configuration, by the size of the document.

`membership_cost` prints it. The cost of an idle fleet is subtracted, and from
the CPU time also that of the operator's command; bytes and messages include
the operator's announcements.
"""

import asyncio
import time
from typing import Final
from typing import NamedTuple

from teaselrock.bench.control_fleet import ControlFleet
from teaselrock.bench.control_fleet import example_document
from teaselrock.protocol.document_codec import JsonDocumentCodec
from teaselrock.standins.clock import run_paused
from teaselrock.state.configuration import Document

MEMBERS: Final = 15
CHANGES: Final = 40
CHANGE_INTERVAL_S: Final = 0.5
SETTLE_S: Final = 8.0


class ChangeCost(NamedTuple):
    """Size of the document, and cost of one change for each instance."""

    document_bytes: int
    sent_bytes: float
    messages: float
    cpu_us: float


class _Usage(NamedTuple):
    sent_bytes: int
    messages: int
    cpu_s: float


def _document(customers: int, weight: int) -> Document:
    document = example_document()
    for number in range(customers):
        document['customers'][f'customer-{number:05}'] = {
            'plan': 'basic',
            'key_sha256': [f'{number:064x}'],
        }
    document['plans']['basic']['weight'] = weight
    return document


def _current_usage(fleet: ControlFleet) -> _Usage:
    network = fleet.network
    return _Usage(
        network.sent_bytes.total(),
        network.sent_messages.total(),
        time.process_time(),
    )


async def _measure_usage(
    *, members: int, customers: int, seed: int, has_changes: bool
) -> _Usage:
    """Measure what a fleet uses, with or without changes."""
    fleet = ControlFleet(seed=seed)
    fleet.announces_changes = True
    await fleet.apply_document(_document(customers, 1))
    if members:
        await fleet.start_all(members, has_document=False)
        await asyncio.sleep(SETTLE_S)
    before = _current_usage(fleet)
    for number in range(CHANGES):
        if has_changes:
            await fleet.apply_document(_document(customers, 2 + number))
        await asyncio.sleep(CHANGE_INTERVAL_S)
    after = _current_usage(fleet)
    return _Usage(
        after.sent_bytes - before.sent_bytes,
        after.messages - before.messages,
        after.cpu_s - before.cpu_s,
    )


def measure_change(*, customers: int, seed: int) -> ChangeCost:
    """Cost of one change that edits one entry of the document."""

    def measure(members: int, has_changes: bool) -> _Usage:
        return run_paused(
            _measure_usage(
                members=members,
                customers=customers,
                seed=seed,
                has_changes=has_changes,
            )
        )

    with_changes, without_changes = (
        measure(MEMBERS, True),
        measure(MEMBERS, False),
    )
    operator = measure(0, True)
    instance_changes = CHANGES * MEMBERS
    document = JsonDocumentCodec().encode(value=_document(customers, 1))
    return ChangeCost(
        len(document),
        (with_changes.sent_bytes - without_changes.sent_bytes)
        / instance_changes,
        (with_changes.messages - without_changes.messages) / instance_changes,
        (with_changes.cpu_s - without_changes.cpu_s - operator.cpu_s)
        / instance_changes
        * 1e6,
    )
