"""RFC 9457 problem details of refusals, for HTTP front ends."""

from collections.abc import Mapping
import math
from typing import Final

import msgspec

from teaselrock.state import Refusal
from teaselrock.state import RefusalCode

CONTENT_TYPE: Final = 'application/problem+json'
VERDICT_HEADER: Final = 'Request-Verdict'

HTTP_STATUS: Final[Mapping[RefusalCode, int]] = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.UNKNOWN_CUSTOMER: 401,
    RefusalCode.UNKNOWN_SERVICE: 404,
    RefusalCode.NOT_IN_PLAN: 403,
    RefusalCode.OUTSIDE_HOME_REGIONS: 421,
    RefusalCode.BODY_TOO_LARGE: 413,
    RefusalCode.KEY_REQUIRED: 400,
    RefusalCode.KEY_IN_USE: 409,
    RefusalCode.KEY_COMPLETED: 409,
    RefusalCode.RECORD_UNAVAILABLE: 503,
    RefusalCode.RATE_EXCEEDED: 429,
    RefusalCode.AMOUNT_EXCEEDED: 429,
    RefusalCode.ALLOWANCE_UNAVAILABLE: 503,
    RefusalCode.REPORT_UNAVAILABLE: 503,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.NO_BACKEND: 503,
    RefusalCode.DEADLINE_EXCEEDED: 504,
    RefusalCode.BACKEND_FAILED: 502,
    RefusalCode.INSTANCE_NOT_READY: 503,
}


def headers(refusal: Refusal) -> dict[str, str]:
    """HTTP headers of a refusal; Retry-After is rounded up to seconds."""
    fields = {
        'Content-Type': CONTENT_TYPE,
        VERDICT_HEADER: refusal.verdict.value,
    }
    if refusal.retry_after is not None:
        fields['Retry-After'] = str(math.ceil(refusal.retry_after))
    return fields


def body(refusal: Refusal) -> bytes:
    """JSON body of a refusal, with the problem details."""
    members: dict[str, str | int] = {
        'type': f'urn:teaselrock:refusal:{refusal.code}',
        'title': refusal.code.replace('-', ' '),
        'status': HTTP_STATUS[refusal.code],
        'detail': refusal.detail,
        'code': refusal.code.value,
        'verdict': refusal.verdict.value,
    }
    if refusal.retry_after is not None:
        members['retry_after_ms'] = math.ceil(refusal.retry_after * 1000)
    return msgspec.json.encode(members)
