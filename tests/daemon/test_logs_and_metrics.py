"""Structured logs and metrics of a gateway."""

import io
import itertools
import json
import os
import pathlib
import re
from typing import Any

import pytest

from teaselrock.coordination.events import Event
from teaselrock.coordination.in_memory import FixedDirectory
from teaselrock.daemon import logs
from teaselrock.daemon.instance_stats import InstanceStats
from teaselrock.daemon.logs import EventLog
from teaselrock.daemon.metrics import GatewayMetrics
from teaselrock.daemon.metrics import MAX_CUSTOMER_LABELS
from teaselrock.daemon.slot_metrics import InstanceStatsCollector
from teaselrock.state.configuration import empty_document
from teaselrock.transport.request_memory import RequestMemory
from teaselrock.transport.unread_responses import UnreadResponses

ROOT = pathlib.Path(__file__).parents[2]


def _logged_lines(
    times: list[float],
    level: str = 'info',
    event: Event = Event.PEER_FRAME_INVALID,
) -> list[dict[str, Any]]:
    """Log lines of one event that is emitted at each of the times."""
    stream = io.StringIO()
    clock_times = iter(times)
    log = EventLog(
        instance_id='gw-1',
        level=level,
        on_event=lambda event: None,
        on_dropped=lambda: None,
        stream=stream,
        clock=lambda: next(clock_times),
    )
    log.start()
    for number in range(len(times)):
        log.emit(event=event, detail='d' * 999, msg=number)
    log.stop()
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_repeated_events_are_counted_in_one_line() -> None:
    """Guards against a flood of log lines, or one without a count.

    Repeats within a second are left out, and the next line counts them.
    """
    lines = _logged_lines([0.0, 0.1, 0.9, 1.0, 3.0])
    assert [line['msg_'] for line in lines] == [0, 3, 4]
    assert [line.get('left_out') for line in lines] == [None, 2, None]
    assert lines[0]['number'] == 1003
    assert lines[0]['time'].endswith('+00:00')
    assert lines[0]['event'] == 'peer-frame-invalid'
    assert lines[0]['level'] == 'WARNING'
    assert len(lines[0]['detail']) == logs.MAX_FIELD_CHARS


@pytest.mark.parametrize(
    'event',
    [
        Event.SERVER_REGISTERED,
        Event.SERVER_RATE_LIMITED,
        Event.SERVER_RATE_LIMIT_ENDED,
    ],
)
def test_events_of_each_server_are_logged(event: Event) -> None:
    """Guards against logs that show one of the servers that change together.

    `explain` then finds no limit for the other servers.
    """
    lines = _logged_lines([index / 20 for index in range(20)], event=event)
    assert [line['msg_'] for line in lines] == list(range(20))


def test_log_level() -> None:
    """Guards against log lines below the configured level.

    The event has level WARNING, the configured level is ERROR.
    """
    assert _logged_lines([0.0], level='error') == []


def test_event_catalogue_is_complete() -> None:
    """Guards against an event without an entry in docs/events.md."""
    page = (ROOT / 'docs' / 'events.md').read_text('utf-8')
    listed = re.findall(r'^\| (\d+) \| `([a-z-]+)` \| (\w+) \|', page, re.M)
    expected = [
        (
            str(event.value),
            event.name.lower().replace('_', '-'),
            'warning' if event in logs.LEVELS else 'info',
        )
        for event in Event
    ]
    assert listed == expected


def test_unread_log_does_not_block() -> None:
    """Guards against a gateway that blocks on its log.

    Nothing reads the pipe, so that writes block once it is full.
    """
    read_end, write_end = os.pipe()
    dropped: list[int] = []
    times = itertools.count()
    log = EventLog(
        instance_id='gw-1',
        level='info',
        on_event=lambda event: None,
        on_dropped=lambda: dropped.append(1),
        stream=os.fdopen(write_end, 'w'),
        clock=lambda: float(next(times)),
    )
    log.start()
    emitted = 5 * logs.MAX_QUEUED_LINES
    for number in range(emitted):
        log.emit(event=Event.REQUEST_ENDED, request=f'{number:0300}')
    # Lines that are neither dropped nor queued fit into the pipe.
    assert len(dropped) > 2 * logs.MAX_QUEUED_LINES
    # The stop does not wait for the reader either.
    log.stop()
    with os.fdopen(read_end, 'rb') as stream:
        for _ in range(emitted - len(dropped)):
            assert stream.readline()


def test_customer_labels_are_limited() -> None:
    """Guards against an unlimited number of time series.

    Customers above the limit share the label `other`.
    """
    document = empty_document()
    for number in range(MAX_CUSTOMER_LABELS + 50):
        document['customers'][f'c{number:03}'] = {
            'plan': 'p',
            'key_sha256': [],
        }
    directory = FixedDirectory(document=document, servers=())
    metrics = GatewayMetrics()
    metrics.register_instance(
        view=directory,
        in_flight=lambda: 3,
        request_memory=RequestMemory(),
        unread_responses=UnreadResponses(),
        collector=InstanceStatsCollector(read_stats=InstanceStats),
    )
    for name in (*document['customers'], 'unknown', ''):
        metrics.on_request(
            customer=name, service='desk', seconds=0.1, verdict='ran', code=''
        )
    text = metrics.exposition().decode()
    counts = dict(
        re.findall(
            r'^teaselrock_request_seconds_count'
            r'\{customer="(\w+)",service="desk"\} ([\d.]+)$',
            text,
            re.M,
        )
    )
    assert len(counts) == MAX_CUSTOMER_LABELS + 2
    assert counts['c199'] == '1.0'
    assert counts['other'] == '51.0'
    assert counts['none'] == '1.0'
    assert 'teaselrock_requests_in_flight 3.0' in text
