"""Structured logs and metrics of a gateway."""

import io
import itertools
import json
import os
import pathlib
import re
from typing import Any

from teaselrock.coordination.events import Event
from teaselrock.coordination.in_memory import FixedDirectory
from teaselrock.daemon import logs
from teaselrock.daemon.instance_stats import InstanceStats
from teaselrock.daemon.logs import EventLog
from teaselrock.daemon.metrics import GatewayMetrics
from teaselrock.daemon.metrics import MAX_CUSTOMERS
from teaselrock.daemon.slot_metrics import SlotCollector
from teaselrock.state.configuration import empty_document

ROOT = pathlib.Path(__file__).parents[2]


def _log(times: list[float], level: str = 'info') -> list[dict[str, Any]]:
    """Lines of one event emitted at each of the times."""
    stream = io.StringIO()
    now = iter(times)
    log = EventLog(
        instance_id='gw-1',
        level=level,
        on_event=lambda event: None,
        on_dropped=lambda: None,
        stream=stream,
        clock=lambda: next(now),
    )
    log.start()
    for number in range(len(times)):
        log.emit(event=Event.PEER_FRAME_INVALID, detail='d' * 999, msg=number)
    log.stop()
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_repeated_events_are_left_out() -> None:
    """Guards against a flood of one event that hides how often it came."""
    lines = _log([0.0, 0.1, 0.9, 1.0, 3.0])
    assert [line['msg_'] for line in lines] == [0, 3, 4]
    assert [line.get('left_out') for line in lines] == [None, 2, None]
    assert lines[0]['number'] == 1003
    assert lines[0]['time'].endswith('+00:00')
    assert lines[0]['event'] == 'peer-frame-invalid'
    assert lines[0]['level'] == 'WARNING'
    assert len(lines[0]['detail']) == logs.MAX_FIELD_CHARS


def test_level() -> None:
    """Guards against events below the level of the settings."""
    assert _log([0.0], level='error') == []


def test_catalogue_is_complete() -> None:
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


def test_unread_output_holds_nobody_up() -> None:
    """Guards against a gateway that waits for the reader of its log.

    Nobody reads the pipe, so that its writer is stuck once it is full.
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
    # What is neither dropped nor queued fits into the pipe.
    assert len(dropped) > 2 * logs.MAX_QUEUED_LINES
    # The end does not wait for the reader either.
    log.stop()
    with os.fdopen(read_end, 'rb') as stream:
        for _ in range(emitted - len(dropped)):
            assert stream.readline()


def test_customers_are_bounded() -> None:
    """Guards against one series for each of many customers."""
    document = empty_document()
    for number in range(MAX_CUSTOMERS + 50):
        document['customers'][f'c{number:03}'] = {
            'plan': 'p',
            'key_sha256': [],
        }
    directory = FixedDirectory(document=document, servers=())
    metrics = GatewayMetrics()
    metrics.register_instance(
        view=directory,
        in_flight=lambda: 3,
        collector=SlotCollector(read_stats=InstanceStats),
    )
    for name in (*document['customers'], 'unknown', ''):
        metrics.on_request(
            customer=name, service='desk', seconds=0.1, verdict='ran', code=''
        )
    text = metrics.exposition().decode()
    counted = dict(
        re.findall(
            r'^teaselrock_request_seconds_count'
            r'\{customer="(\w+)",service="desk"\} ([\d.]+)$',
            text,
            re.M,
        )
    )
    assert len(counted) == MAX_CUSTOMERS + 2
    assert counted['c199'] == '1.0'
    assert counted['other'] == '51.0'
    assert counted['none'] == '1.0'
    assert 'teaselrock_requests_in_flight 3.0' in text
