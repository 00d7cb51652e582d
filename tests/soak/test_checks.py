"""Planted violations: each check of the soak can fail."""

from checks import broken_promises
from checks import Call
from checks import CALM_S
from checks import ended_by_themselves
from checks import not_recovered
from checks import Trouble
import pytest
from world import Run

LOOKUP = Call('r1', 'gw-1', False, 10.0, 10.2, 200, True)
BUILD = LOOKUP._replace(is_build=True)
RUN = Run('r1', 's1', 10.1, False)
STOP = Trouble('gw-1', 9.5, 12.0, True)
KILL = STOP._replace(is_planned=False)


@pytest.mark.parametrize(
    ('call', 'runs', 'troubles', 'problem'),
    [
        pytest.param(LOOKUP, (RUN, RUN), (), None, id='repeated lookup'),
        pytest.param(BUILD, (RUN,), (), None, id='build that ran once'),
        pytest.param(BUILD, (RUN, RUN), (), 'ran 2x', id='build twice'),
        pytest.param(
            BUILD._replace(status=503),
            (RUN,),
            (),
            'refused as not run',
            id='false refusal',
        ),
        pytest.param(
            BUILD._replace(status=502), (RUN,), (), None, id='no promise'
        ),
        pytest.param(
            LOOKUP._replace(is_right=False),
            (RUN,),
            (),
            'wrong answer',
            id='mixed answer',
        ),
        pytest.param(
            LOOKUP._replace(status=404), (), (), '404', id='lost route'
        ),
        pytest.param(
            LOOKUP._replace(status=0),
            (RUN,),
            (STOP,),
            'cut by the stop',
            id='cut by a planned stop',
        ),
        pytest.param(
            LOOKUP._replace(status=0),
            (RUN,),
            (STOP, KILL),
            None,
            id='cut by a kill',
        ),
        pytest.param(
            LOOKUP,
            (RUN._replace(is_gone=True),),
            (),
            'after it left',
            id='work for a server that left',
        ),
        pytest.param(
            LOOKUP,
            (RUN._replace(is_gone=True),),
            (KILL,),
            None,
            id='disturbed gateway',
        ),
        pytest.param(
            LOOKUP,
            (RUN._replace(is_gone=True),),
            (KILL._replace(start=0.0, end=10.0 - 2 * CALM_S),),
            'after it left',
            id='gateway that is calm again',
        ),
    ],
)
def test_planted_violation_is_found(
    call: Call,
    runs: tuple[Run, ...],
    troubles: tuple[Trouble, ...],
    problem: str | None,
) -> None:
    """Guards against checks that never fail, or fail without a reason."""
    found = broken_promises([call], list(runs), list(troubles))
    if problem is None:
        assert found == []
    else:
        (one,) = found
        assert problem in one


def test_gateway_that_does_not_recover_is_found() -> None:
    """Guards against a gateway that serves old routes for good."""
    found = not_recovered({'gw-1': 200, 'gw-2': 404, 'gw-3': 0})
    assert [one.split()[0] for one in found] == ['gw-2', 'gw-3']


def test_process_that_ended_by_itself_is_found() -> None:
    """Guards against a gateway that is gone without a word."""
    (found,) = ended_by_themselves({'gw-1': None, 'gw-2': -1})
    assert found.startswith('gw-2 ')
