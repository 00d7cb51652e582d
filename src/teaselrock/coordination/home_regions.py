"""Check of home regions: which regions a customer's data may be in.

Forwarding, retries, hedges, copies of report rows and store objects all use
this check. For a customer without home regions it allows every region.
"""

from teaselrock.state.configuration import CustomerEntry


def is_region_allowed(*, customer: CustomerEntry, region: str) -> bool:
    """Whether requests of the customer and their data may be in `region`."""
    allowed = customer.get('home_regions')
    return allowed is None or region in allowed


def serving_regions(
    *, customer: CustomerEntry, plan_regions: frozenset[str]
) -> frozenset[str]:
    """Return the plan's regions in which the customer may be served."""
    return frozenset(
        region
        for region in plan_regions
        if is_region_allowed(customer=customer, region=region)
    )
