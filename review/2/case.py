"""A machine freezes for a moment while it serves a route that was added."""

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

ZONE = 'seq-bris'
HOST_NAME = 'ficu95.example'
# Work, aim and time limit of the site's longest kind of request.
WORK_S = 0.55
AIM_MS = 1500
LIMIT_MS = 4000
# Consumers of the route that was added, and of the first one; they start one
# after the other and pause between their requests.
ADDED_CALLERS = 40
FIRST_CALLERS = 4
START_INTERVAL_S = 0.12
PAUSE_S = (0.3, 0.8)
FREEZE_S = 2.5
JUDGED_S = 25.0
STABLE_S = harness.BOUNDS['stable_window_ms'] / 1000


async def call_in_a_loop(record, gateway, path, results, start_s):
    """A consumer that keeps its channel; adds (time sent, status)."""
    rng = random.Random(f'{path} {start_s}')
    await asyncio.sleep(start_s)
    client = harness.Client(gateway)
    await client.open()
    while True:
        request_id = harness.new_id()
        sent_at = time.monotonic()
        answer = await client.request(
            harness.encode_request(
                'GET',
                path,
                host=HOST_NAME,
                request_id=request_id,
                deadline_ms=LIMIT_MS,
            )
        )
        if answer is None:
            raise harness.CannotRun('a channel was closed')
        results.append((sent_at, answer[0]))
        record.line(f'{request_id} {path}: {answer[0]}')
        wait_s = rng.uniform(*PAUSE_S)
        if answer[0] == 503:
            # Consumers come back when the answer says so.
            wait_s += float(answer[1].get('retry-after', 0))
        await asyncio.sleep(wait_s)


def served(results, since, until):
    statuses = [status for at, status in results if since <= at < until]
    return sum(status == 200 for status in statuses), len(statuses)


async def play(record, folder, has_trouble, gateways):
    store = harness.Store(record)
    link = harness.StoreLink(store)
    await link.start()
    for number in range(1, 16):
        upstream = harness.Upstream(
            record=record,
            server_id=f'i-{number}',
            service='parts-cat',
            zone=ZONE,
            work_s=WORK_S,
            slots=6,
        )
        await upstream.start()
        store.put('servers', upstream.server_id, upstream.entry(), 'upstream')
    first = harness.route(
        'first',
        '/first/',
        'parts-cat',
        timeout_ms=LIMIT_MS,
        target_ms=AIM_MS,
        priority=1,
    )
    added = harness.route(
        'added',
        '/added/',
        'parts-cat',
        timeout_ms=LIMIT_MS,
        target_ms=AIM_MS,
        priority=2,
    )
    store.put(
        'config', 'main', harness.desired_state(1, ['parts-cat'], [first])
    )
    gateway = harness.Gateway(
        record=record,
        name=f'edge-{ZONE}-1',
        zone=ZONE,
        zones={ZONE: 'seq'},
        link=link,
        folder=folder,
        bootstrap=True,
    )
    gateways.append(gateway)
    await gateway.start()
    await gateway.wait_ready()
    first_results = []
    added_results = []
    tasks = [
        asyncio.create_task(
            call_in_a_loop(
                record,
                gateway,
                '/first/1',
                first_results,
                number * START_INTERVAL_S,
            )
        )
        for number in range(FIRST_CALLERS)
    ]
    await asyncio.sleep(3)
    store.put(
        'config',
        'main',
        harness.desired_state(2, ['parts-cat'], [first, added]),
    )
    await asyncio.sleep(harness.BOUNDS['config_apply_ms'] / 1000)
    tasks += [
        asyncio.create_task(
            call_in_a_loop(
                record,
                gateway,
                '/added/1',
                added_results,
                number * START_INTERVAL_S,
            )
        )
        for number in range(ADDED_CALLERS)
    ]
    began_at = time.monotonic()
    await asyncio.sleep(12)
    frozen_at = time.monotonic()
    if has_trouble:
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        gateway.send_signal(signal.SIGCONT)
    judged_from = time.monotonic() + STABLE_S
    await asyncio.sleep(STABLE_S + JUDGED_S)
    for task in tasks:
        if task.done():
            task.result()
        task.cancel()
    ends_at = time.monotonic()
    before = served(added_results, began_at + 1, frozen_at)
    first_after = served(first_results, judged_from, ends_at)
    added_after = served(added_results, judged_from, ends_at)
    record.say(
        f'before: {before[0]} of {before[1]} requests of the added route '
        f'served; from {STABLE_S:g} s after the freeze on: first route '
        f'{first_after[0]} of {first_after[1]}, added route '
        f'{added_after[0]} of {added_after[1]}'
    )
    if 2 * before[0] < before[1] or first_after[0] == 0:
        raise harness.CannotRun('too little was served')
    first_share = first_after[0] / first_after[1]
    added_share = added_after[0] / added_after[1]
    return added_after[1] < 20 or added_share >= first_share / 4


harness.main(play, FOLDER)
