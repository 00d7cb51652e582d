"""Admission by plans: what the configuration in force allows a request.

`dispatch` checks it before the request is charged; nothing here waits.
"""

from expression import Error
from expression import Ok
from expression import Result

from teaselrock.coordination import home_regions
from teaselrock.coordination.ports import Directory
from teaselrock.coordination.ports import Permission
from teaselrock.state import Instance
from teaselrock.state import Refusal
from teaselrock.state import RefusalCode
from teaselrock.state import Request
from teaselrock.state import Verdict
from teaselrock.state.configuration import Document


class PlanAdmission:
    """`Admission` by the plans of the configuration in force."""

    def __init__(self, *, own: Instance, directory: Directory) -> None:
        self._own = own
        self._directory = directory

    def check(self, *, request: Request) -> Result[Permission, Refusal]:
        """Check the request against its customer's plan and home regions."""
        return check(
            document=self._directory.document,
            customer=request.customer,
            service=request.service,
            region=self._own.zone.region,
        )


def _refuse(code: RefusalCode, detail: str) -> Refusal:
    return Refusal(code, Verdict.DID_NOT_RUN, detail)


def check(
    *, document: Document, customer: str, service: str, region: str
) -> Result[Permission, Refusal]:
    """Check a request that arrived in `region` against the plan.

    Returns the regions that may serve it and its weight in fair queues.
    """
    entry = document['customers'].get(customer)
    if entry is None:
        return Error(
            _refuse(
                RefusalCode.UNKNOWN_CUSTOMER, f'unknown customer {customer}'
            )
        )
    if service not in document['services']:
        return Error(
            _refuse(RefusalCode.UNKNOWN_SERVICE, f'unknown service {service}')
        )
    if not home_regions.is_region_allowed(customer=entry, region=region):
        return Error(
            _refuse(
                RefusalCode.OUTSIDE_HOME_REGIONS,
                f'region {region} is not a home region of {customer}',
            )
        )
    plan = document['plans'][entry['plan']]
    for allowance in plan['allow']:
        if allowance['service'] == service:
            regions = home_regions.serving_regions(
                customer=entry, plan_regions=frozenset(allowance['regions'])
            )
            if regions:
                return Ok(Permission(regions, plan['weight']))
    return Error(
        _refuse(
            RefusalCode.NOT_IN_PLAN,
            f'plan {entry["plan"]} does not include {service} in a region in'
            f' which {customer} may be served',
        )
    )
