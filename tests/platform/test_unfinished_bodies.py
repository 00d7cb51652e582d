"""Bodies that callers of the platform's gateway do not complete."""

from gateway_world import Run
from gateway_world import World
import pytest

from teaselrock.platform import headers


@pytest.mark.parametrize(
    ('target', 'deadline_ms'),
    [
        pytest.param('/b/1', 200, id="caller's deadline"),
        pytest.param('/b/1', 60_000, id="route's timeout"),
        pytest.param('/missing/1', 60_000, id='no route'),
    ],
)
def test_unfinished_body_ends_at_the_deadline(
    run: Run, target: str, deadline_ms: int
) -> None:
    """Guards against callers that hold a body for as long as they like.

    The status tells that the build has not run.
    """

    async def scenario(world: World) -> None:
        reader, writer = await world.open_connection()
        writer.write(
            f'POST {target} HTTP/1.1\r\nHost: a.example\r\n'
            f'{headers.DEADLINE_MS}: {deadline_ms}\r\n'
            'Content-Length: 10\r\n\r\nunfinishe'.encode()
        )
        assert b' 408 ' in await reader.readline()
        assert b'Connection: close\r\n' in await reader.read(-1)
        writer.close()
        assert world.received_count == 0

    run(scenario)
