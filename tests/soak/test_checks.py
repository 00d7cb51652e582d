"""Planted violations that the checks of the soak must find."""

from checks import Call
from checks import exceeded_limits
from checks import Fault
from checks import find_violations
from checks import ignored_pauses
from checks import Limit
from checks import UNDISTURBED_S
from checks import unexpected_exits
from checks import unrecovered_gateways
from checks import unregistered_gateways
import pytest
from world import Arrival
from world import Pause
from world import Run

LOOKUP_CALL = Call('r1', 'gw-1', False, 10.0, 10.2, 200, True)
BUILD_CALL = LOOKUP_CALL._replace(is_build=True)
RUN = Run('r1', 's1', 10.1, False)
STOP = Fault('gw-1', 9.5, 12.0, True)
KILL = STOP._replace(is_planned=False)


@pytest.mark.parametrize(
    ('call', 'runs', 'faults', 'problem'),
    [
        pytest.param(LOOKUP_CALL, (RUN, RUN), (), None, id='repeated lookup'),
        pytest.param(BUILD_CALL, (RUN,), (), None, id='build that ran once'),
        pytest.param(BUILD_CALL, (RUN, RUN), (), 'ran 2x', id='build twice'),
        pytest.param(
            BUILD_CALL._replace(status=503),
            (RUN,),
            (),
            'refused as not run',
            id='false refusal',
        ),
        pytest.param(
            BUILD_CALL._replace(status=502),
            (RUN,),
            (),
            None,
            id='no guarantee',
        ),
        pytest.param(
            LOOKUP_CALL._replace(is_correct=False),
            (RUN,),
            (),
            'wrong answer',
            id='mixed answer',
        ),
        pytest.param(
            LOOKUP_CALL._replace(status=404), (), (), '404', id='lost route'
        ),
        pytest.param(
            LOOKUP_CALL._replace(status=0),
            (RUN,),
            (STOP,),
            'cut by the stop',
            id='cut by a planned stop',
        ),
        pytest.param(
            LOOKUP_CALL._replace(status=0),
            (RUN,),
            (STOP, KILL),
            None,
            id='cut by a kill',
        ),
        pytest.param(
            LOOKUP_CALL,
            (RUN._replace(is_after_departure=True),),
            (),
            'after it left',
            id='work for a server that left',
        ),
        pytest.param(
            LOOKUP_CALL,
            (RUN._replace(is_after_departure=True),),
            (KILL,),
            None,
            id='disturbed gateway',
        ),
        pytest.param(
            LOOKUP_CALL,
            (RUN._replace(is_after_departure=True),),
            (KILL._replace(start=0.0, end=10.0 - 2 * UNDISTURBED_S),),
            'after it left',
            id='undisturbed gateway',
        ),
    ],
)
def test_planted_violation_is_found(
    call: Call,
    runs: tuple[Run, ...],
    faults: tuple[Fault, ...],
    problem: str | None,
) -> None:
    """Guards against checks that never fail, or fail without a violation."""
    found = find_violations([call], list(runs), list(faults))
    if problem is None:
        assert found == []
    else:
        (violation,) = found
        assert problem in violation


@pytest.mark.parametrize(('count', 'is_found'), [(17, False), (18, True)])
def test_exceeded_limit_is_found(count: int, is_found: bool) -> None:
    """Guards against a check that misses requests above a limit.

    At 2 requests/s, 1.5 x 4 s x 2/s + 5 are allowed in 4 s.
    """
    limit = Limit('s1', 2.0, 10.0, 20.0)
    before = [Arrival('s1', 10.5)] * 100
    within = [Arrival('s1', 12.0 + index / 10) for index in range(count)]
    other = [Arrival('s2', 12.0)] * 100
    found = exceeded_limits([*before, *within, *other], [limit])
    assert len(found) == is_found


@pytest.mark.parametrize(
    ('count', 'faults', 'is_found'),
    [(2, (), False), (3, (), True), (3, (KILL,), False)],
)
def test_ignored_pause_is_found(
    count: int, faults: tuple[Fault, ...], is_found: bool
) -> None:
    """Guards against a check that misses requests during a pause."""
    calls = [
        LOOKUP_CALL._replace(request_id=f'r{index}') for index in range(9)
    ]
    calls.append(LOOKUP_CALL._replace(request_id='other', gateway='gw-2'))
    pause = Pause('s1', 'r0', 10.0, 3.0)
    arrivals = [
        *(Arrival('s1', 11.0, f'r{index}') for index in range(count)),
        *(Arrival('s1', 10.2, f'r{index}') for index in range(9)),
        *(Arrival('s1', 13.1, f'r{index}') for index in range(9)),
        *[Arrival('s1', 11.0, 'other')] * 9,
        *[Arrival('s2', 11.0, 'r1')] * 9,
    ]
    found = ignored_pauses(calls, arrivals, [pause], faults)
    assert len(found) == is_found


def test_gateway_that_does_not_recover_is_found() -> None:
    """Guards against a check that misses a gateway with outdated routes."""
    found = unrecovered_gateways({'gw-1': 200, 'gw-2': 404, 'gw-3': 0})
    assert [violation.split()[0] for violation in found] == ['gw-2', 'gw-3']


def test_unregistered_gateway_is_found() -> None:
    """Guards against a check that misses a lost registration."""
    (found,) = unregistered_gateways(['gw-1', 'gw-2'], {'gw-2', 'gw-3'})
    assert found.startswith('gw-1 ')


def test_process_that_ended_by_itself_is_found() -> None:
    """Guards against a check that misses a gateway whose process exited."""
    (found,) = unexpected_exits({'gw-1': None, 'gw-2': -1})
    assert found.startswith('gw-2 ')
