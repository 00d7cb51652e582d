"""A machine that the store turns away at a bad moment leaves its peers."""

import asyncio
from collections.abc import Callable
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins2 as s  # noqa: E402

IN_USE = 3
# How long the store turns one machine away.
TURNED_AWAY_S = 9.0
CONFIG_APPLY_S = 2.0
STRETCH_MAX_S = 5.0
ASKED_FOR_S = 12.0
ZONES = {'dub-a': 'dub'}
ROSTER = '/objects/teaselrock-instances'


def state(version: int, service: str) -> dict[str, object]:
    return s.desired_state(
        version,
        ['desk', 'catalogue'],
        [s.route('poll', 'idempotent', service)],
    )


class StorePath:
    """One machine's address of the store, which can turn it away."""

    def __init__(self, store: s.Store) -> None:
        self._store = store
        self.watch_calls = 0
        self.turned_away = 0
        self.is_turned_away = False
        self.on_roster_read: Callable[[], None] = lambda: None
        self.listener = s.HttpListener(self._respond)

    async def _respond(
        self, request: s.Message
    ) -> tuple[int, dict[str, str], bytes]:
        self.watch_calls += 'watch=' in request.target
        if request.method == 'GET' and request.target.startswith(ROSTER):
            self.on_roster_read()
        if self.is_turned_away:
            self.turned_away += 1
            return 503, {'Store-Era': '1'}, b'{}'
        return await self._store.respond(request)


class Asked:
    """A request, and when it was sent."""

    def __init__(self, request_id: str, gateway: str, at: float) -> None:
        self.request_id = request_id
        self.gateway = gateway
        self.at = at


async def ask(gateway: s.Gateway, asked: Asked, record: s.Record) -> None:
    """Send one request on a channel of its own."""
    record.add('sent', id=asked.request_id, to=gateway.name)
    end = 'closed'
    try:
        async with asyncio.timeout(3.0):
            reader, writer = await asyncio.open_connection(*gateway.front)
            writer.write(s.request_bytes('GET', '/poll/1', asked.request_id))
            answer = await s.read_message(reader)
            writer.close()
            if answer is not None:
                end = str(answer.status)
    except (OSError, TimeoutError, s.Incomplete) as error:
        end = repr(error)
    record.add('answer', id=asked.request_id, end=end)


async def find_follower(
    gateways: list[s.Gateway], paths: dict[str, StorePath]
) -> s.Gateway:
    """A machine that gets the changes from another one."""
    before = {name: path.watch_calls for name, path in paths.items()}
    await asyncio.sleep(3.0)
    following = [
        gateway
        for gateway in gateways
        if paths[gateway.name].watch_calls == before[gateway.name]
    ]
    if len(following) != IN_USE - 1:
        raise RuntimeError(f'{len(following)} machines follow another one')
    return following[0]


async def scenario(record: s.Record, work: pathlib.Path) -> bool:
    store = s.Store()
    paths: dict[str, StorePath] = {}
    servers = {
        name: s.Upstream(name, record, work_s=lambda: 0.02)
        for name in ('i-desk-1', 'i-desk-2', 'i-catalogue-1', 'i-catalogue-2')
    }
    for name, server in servers.items():
        await server.listener.start()
        service = name.split('-')[1]
        store.put('servers', name, server.entry(service, 'dub-a'))
    store.put('config', 'main', state(7, 'desk'))
    gateways = []
    for number in range(1, IN_USE + 1):
        name = f'edge-dub-a-{number}'
        path = paths[name] = StorePath(store)
        gateways.append(
            s.Gateway(
                name,
                ip=f'127.0.0.{number}',
                zone='dub-a',
                zones=ZONES,
                store=await path.listener.start(),
                folder=work,
            )
        )
    all_asked: list[Asked] = []
    tasks: set[asyncio.Task[None]] = set()
    try:
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        await asyncio.sleep(10.0)
        judged = await find_follower(gateways, paths)
        path = paths[judged.name]
        read = asyncio.Event()

        def on_roster_read() -> None:
            if not read.is_set():
                path.is_turned_away = s.TROUBLE
                read.set()
                record.add('roster-read', of=judged.name, refused=s.TROUBLE)

        path.on_roster_read = on_roster_read
        await asyncio.wait_for(read.wait(), 30.0)
        loop = asyncio.get_running_loop()

        def serve_again() -> None:
            path.is_turned_away = False
            record.add('store', serves=judged.name)

        loop.call_later(TURNED_AWAY_S, serve_again)
        await asyncio.sleep(0.3)
        store.put('config', 'main', state(8, 'catalogue'))
        acked_at = record.now
        record.add('ack', version=8, poll='goes to catalogue')
        while record.now < acked_at + ASKED_FOR_S:
            for gateway in gateways:
                asked = Asked(
                    f'req{len(all_asked):04d}', gateway.name, record.now
                )
                all_asked.append(asked)
                task = asyncio.create_task(ask(gateway, asked, record))
                tasks.add(task)
            await asyncio.sleep(0.1)
        await asyncio.wait(tasks)
    finally:
        for gateway in gateways:
            await gateway.end()
        for store_path in paths.values():
            store_path.listener.stop()
        for server in servers.values():
            server.listener.stop()
    old_runs = {
        run.request_id
        for name, server in servers.items()
        if '-desk-' in name
        for run in server.runs
    }
    stale = [asked for asked in all_asked if asked.request_id in old_runs]
    bound = CONFIG_APPLY_S + STRETCH_MAX_S
    late = [asked for asked in stale if asked.at > acked_at + bound]
    others = [asked for asked in stale if asked.gateway != judged.name]
    record.result(
        f'{len(late)} requests sent over {bound} s after the ack of version 8 '
        f'were run by the service of version 7; the last such request was '
        f'sent {max((a.at - acked_at for a in stale), default=0):.1f} s after '
        f'it at {judged.name}, and '
        f'{max((a.at - acked_at for a in others), default=0):.1f} s at the '
        f'others; {path.turned_away} calls turned away'
    )
    if not all_asked or len(old_runs) == len(all_asked):
        raise RuntimeError('version 8 came into force nowhere')
    return bool(late)


s.main(scenario, pathlib.Path(__file__).resolve().parent)
