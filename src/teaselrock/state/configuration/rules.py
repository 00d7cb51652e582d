"""Configuration rules that need the whole document.

They assume a document that has passed the schema in `protocol`.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from teaselrock.state.configuration.document import AllowanceEntry
from teaselrock.state.configuration.document import Document
from teaselrock.state.configuration.document import ServiceEntry
from teaselrock.state.configuration.edits import Edit
from teaselrock.state.configuration.edits import SECTIONS


class RuleError(NamedTuple):
    """A violated rule; an example of `path` is `plans.basic.weight`."""

    path: str
    detail: str


def validate_edits(edits: Iterable[Edit]) -> tuple[RuleError, ...]:
    """Return errors for edits with an unknown section or an empty key."""
    return tuple(
        RuleError(f'{edit.section}.{edit.key}', 'unknown section or empty key')
        for edit in edits
        if edit.section not in SECTIONS or not edit.key
    )


def validate_document(document: Document) -> tuple[RuleError, ...]:
    """Return all rule violations of a schema-valid document."""
    return (
        *_customer_errors(document),
        *_plan_errors(document),
        *_service_errors(document),
        *_zone_errors(document),
    )


def _positive_errors(path: str, number: float | None) -> Iterator[RuleError]:
    if number is not None and not number > 0:
        yield RuleError(path, f'must be positive, is {number}')


def _customer_errors(document: Document) -> Iterator[RuleError]:
    owners: dict[str, str] = {}
    for name, customer in document['customers'].items():
        path = f'customers.{name}'
        if customer['plan'] not in document['plans']:
            yield RuleError(
                f'{path}.plan', f'unknown plan {customer["plan"]!r}'
            )
        for index, digest in enumerate(customer['key_sha256']):
            owner = owners.setdefault(digest, name)
            if owner != name:
                yield RuleError(
                    f'{path}.key_sha256.{index}',
                    f'the key is already assigned to customer {owner!r}',
                )
        if customer.get('home_regions') == []:
            yield RuleError(
                f'{path}.home_regions', 'must name at least one region'
            )


def _plan_errors(document: Document) -> Iterator[RuleError]:
    for name, plan in document['plans'].items():
        yield from _positive_errors(f'plans.{name}.weight', plan['weight'])
        seen: set[str] = set()
        for index, allowance in enumerate(plan['allow']):
            path = f'plans.{name}.allow.{index}'
            yield from _allowance_errors(path, allowance, document)
            if allowance['service'] in seen:
                yield RuleError(
                    f'{path}.service',
                    'the plan has another entry for the service',
                )
            seen.add(allowance['service'])


def _allowance_errors(
    path: str, allowance: AllowanceEntry, document: Document
) -> Iterator[RuleError]:
    if allowance['service'] not in document['services']:
        yield RuleError(
            f'{path}.service', f'unknown service {allowance["service"]!r}'
        )
    yield from _positive_errors(
        f'{path}.rate_per_second', allowance.get('rate_per_second')
    )
    yield from _positive_errors(
        f'{path}.units_per_window', allowance.get('units_per_window')
    )
    if not allowance['regions']:
        yield RuleError(f'{path}.regions', 'must name at least one region')


def _service_errors(document: Document) -> Iterator[RuleError]:
    owners: dict[str, str] = {}
    for name, service in document['services'].items():
        path = f'services.{name}'
        prefix = service['prefix']
        if not prefix.startswith('/'):
            yield RuleError(f'{path}.prefix', "must start with '/'")
        owner = owners.setdefault(prefix.rstrip('/'), name)
        if owner != name:
            yield RuleError(
                f'{path}.prefix',
                f'the prefix is already used by service {owner!r}',
            )
        yield from _service_number_errors(path, service)


def _service_number_errors(
    path: str, service: ServiceEntry
) -> Iterator[RuleError]:
    yield from _positive_errors(f'{path}.concurrency', service['concurrency'])
    yield from _positive_errors(f'{path}.deadline_ms', service['deadline_ms'])
    yield from _positive_errors(
        f'{path}.max_body_bytes', service.get('max_body_bytes')
    )


def _zone_errors(document: Document) -> Iterator[RuleError]:
    for key in document['out_zones']:
        region, _, zone = key.partition('/')
        if not region or not zone or '/' in zone:
            yield RuleError(
                f'out_zones.{key}', "must have the form 'region/zone'"
            )
