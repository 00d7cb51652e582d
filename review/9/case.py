"""Upstreams that state an idle timeout of 1 s get no request at all."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins2 as s  # noqa: E402

IDLE_TIMEOUT_S = 1 if s.TROUBLE else 10
REQUESTS = 300
PAUSE_S = 0.05


async def scenario(record: s.Record, work: pathlib.Path) -> bool:
    zones = {'dub-a': 'dub'}
    store = s.Store()
    address = await store.listener.start()
    servers = [
        s.Upstream(
            f'i-{number}',
            record,
            work_s=lambda: 0.05,
            fields={'Keep-Alive': f'timeout={IDLE_TIMEOUT_S}'},
            idle_timeout_s=float(IDLE_TIMEOUT_S),
        )
        for number in range(4)
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
                s.route('build', 'non_idempotent', 'desk'),
                s.route('poll', 'idempotent', 'desk'),
            ],
        ),
    )
    gateway = s.Gateway(
        'edge-dub-a-1',
        ip='127.0.0.1',
        zone='dub-a',
        zones=zones,
        store=address,
        folder=work,
    )
    served = 0
    try:
        await gateway.start()
        reader, writer = await asyncio.open_connection(*gateway.front)
        for number in range(REQUESTS):
            is_build = number % 3 == 0
            request_id = f'req{number:04d}'
            writer.write(
                s.request_bytes(
                    'POST' if is_build else 'GET',
                    '/build/1' if is_build else '/poll/1',
                    request_id,
                    body=b'{"index": 1}' if is_build else b'',
                )
            )
            record.add('sent', id=request_id)
            answer = await asyncio.wait_for(s.read_message(reader), 5.0)
            if answer is None:
                raise RuntimeError('the gateway closed the channel')
            served += answer.status == 200
            record.add(
                'answer',
                id=request_id,
                status=answer.status,
                text='' if answer.status == 200 else answer.body.decode(),
            )
            await asyncio.sleep(PAUSE_S)
        writer.close()
        record.add('ready', value=await gateway.is_ready())
    finally:
        await gateway.end()
        store.listener.stop()
        for server in servers:
            server.listener.stop()
    checks = sum(server.health_checks for server in servers)
    record.result(
        f'{REQUESTS} requests, {served} served; the upstreams answered '
        f'{checks} status checks'
    )
    if checks == 0:
        raise RuntimeError('no upstream was checked')
    return served == 0


s.main(scenario, pathlib.Path(__file__).resolve().parent)
