"""Consumers send further requests before the first has been answered."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

ZONE = 'seq-bris'
HOST_NAME = 'ficu95.example'
CALLERS = 20
REQUESTS = 12
# A session cookie; a whole head has about 2,300 bytes.
COOKIE = 'session=' + 'c' * 2000
# A link of about 10 Mbit/s delivers a segment in this time.
SEGMENT_BYTES = 1448
SEGMENT_S = 0.0012
# DENIED: more than 5 and one in 500 of all requests.
DENIED_ALLOWED = 5


def encode(request_id):
    return harness.encode_request(
        'GET',
        '/lookup/1',
        host=HOST_NAME,
        request_id=request_id,
        deadline_ms=2500,
        fields=(('Cookie', COOKIE),),
    )


async def send_all(writer, encoded):
    """Send as the segments of the link arrive."""
    for start in range(0, len(encoded), SEGMENT_BYTES):
        writer.write(encoded[start : start + SEGMENT_BYTES])
        await writer.drain()
        await asyncio.sleep(SEGMENT_S)


async def call(record, gateway, is_pipelined, statuses):
    """Requests of one channel; each one's status or None is added."""
    client = harness.Client(gateway)
    await client.open()
    ids = [harness.new_id() for _ in range(REQUESTS)]
    record.line('a consumer sends ' + ' '.join(ids))
    sending = None
    if is_pipelined:
        sending = asyncio.create_task(
            send_all(client.writer, b''.join(encode(name) for name in ids))
        )
    for request_id in ids:
        if not is_pipelined:
            sending = asyncio.create_task(
                send_all(client.writer, encode(request_id))
            )
        answer = await harness.read_message(client.reader)
        status = int(answer[0].split(' ')[1]) if answer else None
        statuses.append(status)
        record.line(f'{request_id}: {status or "channel closed"}')
        if status != 200:
            break
    await asyncio.gather(sending, return_exceptions=True)
    client.close()


async def play(record, folder, has_trouble, gateways):
    store = harness.Store(record)
    link = harness.StoreLink(store)
    await link.start()
    for number in range(1, 4):
        upstream = harness.Upstream(
            record=record,
            server_id=f'i-{number}',
            service='parts-cat',
            zone=ZONE,
            work_s=0.05,
        )
        await upstream.start()
        store.put('servers', upstream.server_id, upstream.entry(), 'upstream')
    store.put(
        'config',
        'main',
        harness.desired_state(
            1,
            ['parts-cat'],
            [
                harness.route('lookup', '/lookup/', 'parts-cat'),
            ],
        ),
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
    await asyncio.sleep(harness.BOUNDS['stable_window_ms'] / 1000 + 1)
    statuses = []
    for _ in range(CALLERS):
        await call(record, gateway, has_trouble, statuses)
    if not gateway.is_running:
        raise harness.CannotRun('the gateway has ended')
    denied = sum(
        1
        for status in statuses
        if status is not None
        and 300 <= status < 500
        and status not in (408, 421, 429)
    )
    allowed = DENIED_ALLOWED + CALLERS * REQUESTS / 500
    counts = {
        str(s): statuses.count(s) for s in sorted(set(statuses), key=str)
    }
    record.say(
        f'{counts} of {CALLERS * REQUESTS} requests; {denied} were ended '
        f'with a 3xx or 4xx of the gateway (at most {allowed:g})'
    )
    return denied <= allowed


harness.main(play, FOLDER)
