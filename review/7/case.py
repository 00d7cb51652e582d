"""A planned stop cuts answers to consumers that send requests ahead."""

import asyncio
import collections
import pathlib
import random
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins2 as s  # noqa: E402

CONSUMERS = 16
# Requests that a consumer keeps unanswered on its channel.
AHEAD = 2
# Those of `term-lookup` on the site's sheet; the largest answer of the site.
WORK_S = 0.088
WORK_SPREAD = 0.3
DEADLINE_MS = 800
TARGET_MS = 250
ANSWER_BYTES = 30_000
# The consumer's link: 3 ms each way, and a window of 16 KB.
WINDOW_BYTES = 16_384
ROUND_TRIP_S = 0.006
GRACE_S = 6.0
STABLE_WINDOW_S = 3.0


class Sent:
    def __init__(self, request_id: str, gateway: str, at: float) -> None:
        self.request_id = request_id
        self.gateway = gateway
        self.at = at
        self.is_answered = False
        self.end = ''


class Consumer:
    """Sends GETs ahead on kept channels and reads at the pace of its link."""

    def __init__(
        self, number: int, gateways: list[s.Gateway], record: s.Record
    ) -> None:
        self.number = number
        self.gateways = gateways
        self.record = record
        self.sent: list[Sent] = []
        self.is_ending = False

    async def run(self) -> None:
        while not self.is_ending:
            for gateway in self.gateways:
                if await gateway.is_ready():
                    try:
                        await self._use(gateway)
                    except OSError:
                        pass
                    break
            await asyncio.sleep(0.02)

    async def _use(self, gateway: s.Gateway) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES // 2)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, gateway.front)
        waiting: collections.deque[Sent] = collections.deque()
        data = bytearray()
        may_send = True
        try:
            while True:
                while (
                    may_send and not self.is_ending and len(waiting) < AHEAD
                ):
                    sent = Sent(
                        f'c{self.number:02d}n{len(self.sent):04d}',
                        gateway.name,
                        self.record.now,
                    )
                    self.sent.append(sent)
                    waiting.append(sent)
                    self.record.add(
                        'sent', id=sent.request_id, to=gateway.name
                    )
                    await asyncio.sleep(ROUND_TRIP_S / 2)
                    await loop.sock_sendall(
                        sock,
                        s.request_bytes(
                            'GET',
                            '/term/1',
                            sent.request_id,
                            deadline_ms=DEADLINE_MS,
                        ),
                    )
                if not waiting:
                    return
                await asyncio.sleep(ROUND_TRIP_S)
                part = await loop.sock_recv(sock, WINDOW_BYTES)
                if not part:
                    raise ConnectionResetError('closed')
                data += part
                while (answer := take_answer(data)) is not None:
                    sent = waiting.popleft()
                    name = answer.field(s.REQUEST_ID)
                    sent.is_answered = name == sent.request_id
                    sent.end = str(answer.status)
                    self.record.add(
                        'answer',
                        id=sent.request_id,
                        status=answer.status,
                        names=name,
                        closes=answer.closes,
                    )
                    may_send = may_send and not answer.closes
                # A close is heeded as soon as the head tells it.
                if b'\r\nConnection: close\r\n' in data:
                    may_send = False
                if not may_send and not data:
                    # What was sent behind this answer counts as not read.
                    for sent in waiting:
                        sent.end = 'behind the last answer'
                    return
        except OSError as error:
            for sent in waiting:
                sent.end = f'channel ended: {error!r}'
                self.record.add(
                    'cut',
                    id=sent.request_id,
                    error=repr(error),
                    received=len(data) if sent is waiting[0] else 0,
                )
        finally:
            sock.close()


def take_answer(data: bytearray) -> s.Message | None:
    """Take the first whole answer from what was received."""
    end = data.find(b'\r\n\r\n')
    if end < 0:
        return None
    first, *lines = bytes(data[:end]).decode('latin-1').split('\r\n')
    fields = []
    for line in lines:
        name, _, value = line.partition(':')
        fields.append((name, value.strip()))
    answer = s.Message(first, fields, b'')
    total = end + 4 + int(answer.field('content-length') or 0)
    if len(data) < total:
        return None
    answer.body = bytes(data[end + 4 : total])
    del data[:total]
    return answer


async def scenario(record: s.Record, work: pathlib.Path) -> bool:
    rng = random.Random(7)
    zones = {'dub-a': 'dub'}
    store = s.Store()
    address = await store.listener.start()
    servers = [
        s.Upstream(
            f'i-{number}',
            record,
            work_s=lambda: rng.gauss(WORK_S, WORK_SPREAD * WORK_S),
            answer_bytes=ANSWER_BYTES,
        )
        for number in range(12)
    ]
    for server in servers:
        await server.listener.start()
        store.put('servers', server.server_id, server.entry('desk', 'dub-a'))
    store.put(
        'config',
        'main',
        s.desired_state(
            7,
            ['desk'],
            [
                s.route(
                    'term',
                    'idempotent',
                    'desk',
                    timeout_ms=DEADLINE_MS,
                    target_latency_ms=TARGET_MS,
                )
            ],
        ),
    )
    gateways = [
        s.Gateway(
            f'edge-dub-a-{number}',
            ip=f'127.0.0.{number}',
            zone='dub-a',
            zones=zones,
            store=address,
            folder=work,
        )
        for number in (1, 2)
    ]
    consumers = [
        Consumer(number, gateways, record) for number in range(CONSUMERS)
    ]
    tasks: list[asyncio.Task[None]] = []
    stopped_at: dict[str, float] = {}
    try:
        for gateway in gateways:
            await gateway.start()
        tasks = [asyncio.create_task(c.run()) for c in consumers]
        for gateway in gateways:
            # Both machines have been in touch for `stable_window_ms`.
            await asyncio.sleep(STABLE_WINDOW_S + 1.0)
            if s.TROUBLE:
                stopped_at[gateway.name] = record.now
                record.add('SIGTERM', to=gateway.name)
                gateway.terminate()
                try:
                    await asyncio.wait_for(gateway.process.wait(), GRACE_S)
                except TimeoutError:
                    gateway.process.kill()
                    await gateway.process.wait()
                record.add('exit', of=gateway.name)
                await gateway.start()
        await asyncio.sleep(1.0)
        for consumer in consumers:
            consumer.is_ending = True
        await asyncio.wait(tasks, timeout=3.0)
    finally:
        for task in tasks:
            task.cancel()
        for gateway in gateways:
            await gateway.end()
        store.listener.stop()
        for server in servers:
            server.listener.stop()
    runs = {run.request_id: run for srv in servers for run in srv.runs}
    lost = []
    answered = 0
    for consumer in consumers:
        for sent in consumer.sent:
            answered += sent.is_answered
            run = runs.get(sent.request_id)
            if sent.is_answered or run is None or not sent.end:
                continue
            if not sent.end.startswith('channel ended'):
                continue
            # Only what is around the stop of its own machine, and no upstream
            # that was still at work in the last sixth of the grace.
            stop = stopped_at.get(sent.gateway, float('inf'))
            if not stop - DEADLINE_MS / 1000 <= sent.at <= stop + GRACE_S + 1:
                continue
            last = stop + GRACE_S * 5 / 6
            if run.ended_at is None or run.ended_at >= last:
                continue
            lost.append(sent)
            record.add(
                'lost', id=sent.request_id, ran_at=run.server_id, run=run.end
            )
    record.result(
        f'{answered} requests answered; read by the gateway, run, and cut '
        f'without a complete answer: {len(lost)}'
    )
    if answered < 100:
        raise RuntimeError('too few requests were answered')
    return bool(lost)


s.main(scenario, pathlib.Path(__file__).resolve().parent)
