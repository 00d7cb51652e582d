"""State layer: typed data and the rules on it, without I/O."""

from teaselrock.state.request import AttemptOutcome
from teaselrock.state.request import AttemptReason
from teaselrock.state.request import BackendResponse
from teaselrock.state.request import ExchangeFailure
from teaselrock.state.request import FailureKind
from teaselrock.state.request import NoRequestHold
from teaselrock.state.request import Request
from teaselrock.state.request import RequestContent
from teaselrock.state.request import RequestHold
from teaselrock.state.topology import AvailabilityZone
from teaselrock.state.topology import BackendServer
from teaselrock.state.topology import Instance
from teaselrock.state.topology import LoadReport
from teaselrock.state.topology import ServerState
from teaselrock.state.verdict import Refusal
from teaselrock.state.verdict import RefusalCode
from teaselrock.state.verdict import Verdict

__all__ = (
    'BackendResponse',
    'AttemptOutcome',
    'AttemptReason',
    'AvailabilityZone',
    'BackendServer',
    'RequestContent',
    'RequestHold',
    'ExchangeFailure',
    'FailureKind',
    'Instance',
    'LoadReport',
    'NoRequestHold',
    'Refusal',
    'RefusalCode',
    'Request',
    'ServerState',
    'Verdict',
)
