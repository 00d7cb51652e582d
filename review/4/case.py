"""Two evacuations are written again while they are in force."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

ZONES = {'seq-bris': 'seq', 'seq-gc': 'seq', 'nq-tsv': 'nq'}
GATEWAY_ZONES = ('seq-bris', 'seq-gc')
HOST_NAME = 'ficu95.example'
OUT = ('nq-tsv', 'seq-gc')
EVACUATE_S = harness.BOUNDS['evacuate_ms'] / 1000
# The operator's calls follow each other; the store takes 4 ms for each.
CALL_S = 0.004
JUDGED_S = 12.0


async def call_in_a_loop(record, gateway, statuses):
    client = harness.Client(gateway)
    await client.open()
    while True:
        request_id = harness.new_id()
        answer = await client.request(
            harness.encode_request(
                'POST',
                '/order/1',
                host=HOST_NAME,
                request_id=request_id,
                deadline_ms=1500,
                body=b'x' * 1200,
            )
        )
        status = answer[0] if answer else 'channel closed'
        statuses[status] = statuses.get(status, 0) + 1
        record.line(f'{request_id} POST to {gateway.name}: {status}')
        if answer is None:
            raise harness.CannotRun(f'{gateway.name} closed a channel')
        await asyncio.sleep(0.05)


async def play(record, folder, has_trouble, gateways):
    store = harness.Store(record)
    upstreams = [
        harness.Upstream(
            record=record,
            server_id=f'i-{zone}-{number}',
            service='job-desk',
            zone=zone,
            work_s=0.05,
        )
        for zone in ZONES
        for number in (1, 2)
    ]
    for upstream in upstreams:
        await upstream.start()
        store.put('servers', upstream.server_id, upstream.entry(), 'upstream')
    store.put(
        'config',
        'main',
        harness.desired_state(
            1,
            ['job-desk'],
            [
                harness.route(
                    'order', '/order/', 'job-desk', 'non_idempotent', 1500
                ),
            ],
        ),
    )
    for zone in GATEWAY_ZONES:
        link = harness.StoreLink(store)
        await link.start()
        gateways.append(
            harness.Gateway(
                record=record,
                name=f'edge-{zone}-1',
                zone=zone,
                zones=ZONES,
                link=link,
                folder=folder,
                bootstrap=True,
            )
        )
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    statuses = {}
    tasks = [
        asyncio.create_task(call_in_a_loop(record, gateway, statuses))
        for gateway in gateways
        for _ in range(3)
    ]
    await asyncio.sleep(5)
    for zone in OUT:
        acked_at = store.put('evacuations', zone, {})
    await asyncio.sleep(EVACUATE_S + 2)
    arrived = [
        upstream
        for upstream in upstreams
        if upstream.zone in OUT
        and any(at > acked_at + EVACUATE_S for at, *_ in upstream.arrivals)
    ]
    if arrived:
        raise harness.CannotRun('the first evacuation was not obeyed')
    if has_trouble:
        for zone in OUT:
            store.delete('evacuations', zone)
            await asyncio.sleep(CALL_S)
            acked_at = store.put('evacuations', zone, {})
            await asyncio.sleep(CALL_S)
    await asyncio.sleep(EVACUATE_S + JUDGED_S)
    for task in tasks:
        if task.done():
            task.result()
        task.cancel()
    late = [
        (at - acked_at, upstream.server_id)
        for upstream in upstreams
        if upstream.zone in OUT
        for at, *_ in upstream.arrivals
        if at > acked_at + EVACUATE_S
    ]
    total = sum(len(upstream.arrivals) for upstream in upstreams)
    record.say(f'answers: {statuses}')
    record.say(
        f'{len(late)} of {total} requests reached upstreams of evacuated '
        f'zones later than {EVACUATE_S:g} s after the ack, the last one '
        f'{max(late, default=(0, ""))[0]:.1f} s after it'
    )
    if statuses.get(200, 0) == 0:
        raise harness.CannotRun('nothing was served')
    return not late


harness.main(play, FOLDER)
