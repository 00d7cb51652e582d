"""The one guard for home regions: may this go to that region?

Forwarding, retries, hedges, keepers of report rows and store objects all
ask here. A customer without home regions may be served anywhere.
"""

from teaselrock.state.configuration import CustomerEntry


def is_region_allowed(*, customer: CustomerEntry, region: str) -> bool:
    """Whether anything of the customer's requests may be in `region`."""
    homes = customer.get('home_regions')
    return homes is None or region in homes


def serving_regions(
    *, customer: CustomerEntry, plan_regions: frozenset[str]
) -> frozenset[str]:
    """Regions of the plan in which the customer may be served."""
    return frozenset(
        region
        for region in plan_regions
        if is_region_allowed(customer=customer, region=region)
    )
