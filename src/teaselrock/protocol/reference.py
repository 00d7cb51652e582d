"""Generates the operators' reference of configuration and settings.

The source is `schemas`. A test checks that
`docs/operators/configuration.md` holds this text.
"""

from collections.abc import Iterator
import json
from typing import Any
from typing import Final

from teaselrock.protocol import schemas
from teaselrock.protocol.schemas import Schema

_INTRODUCTION: Final = """\
# Configuration and settings

This page is generated from the schemas in
`src/teaselrock/protocol/schemas.py`.

Both documents are JSON with comments (`//` and `/* */`); trailing commas are
allowed. Unknown members are errors. `teaselrock check FILE` checks a
configuration and lists all errors with line and path.
"""


def markdown() -> str:
    """Generate the whole page in Markdown."""
    parts = [_INTRODUCTION]
    parts += _section('Configuration', schemas.CONFIGURATION)
    parts += _section('Gateway settings', schemas.SETTINGS)
    return '\n'.join(parts)


def _section(title: str, schema: Schema) -> Iterator[str]:
    yield f'## {title}\n'
    yield '| member | required | value | meaning |'
    yield '| --- | --- | --- | --- |'
    yield from _rows('', schema)
    for name, required_names in schema.get('dependentRequired', {}).items():
        needed = ' and '.join(
            f'`{required_name}`' for required_name in required_names
        )
        yield f'\n`{name}` needs {needed}.'
    yield ''


def _rows(prefix: str, schema: Schema) -> Iterator[str]:
    required = schema.get('required', ())
    for name, member in schema['properties'].items():
        path = prefix + name
        yield _row(path, 'yes' if name in required else 'no', member)
        if name != 'configuration':
            yield from _nested_rows(path, member)


def _nested_rows(path: str, member: Schema) -> Iterator[str]:
    values = member.get('additionalProperties')
    if isinstance(values, dict):
        yield from _rows(f'{path}.NAME.', values)
    items = member.get('items', {})
    if 'properties' in items:
        yield from _rows(f'{path}[].', items)


def _row(path: str, required: str, member: Schema) -> str:
    meaning = member.get('description', '')
    return f'| `{path}` | {required} | {_value_text(member)} | {meaning} |'


def _value_text(member: Schema) -> str:
    if 'enum' in member:
        return ', '.join(f'`{json.dumps(item)}`' for item in member['enum'])
    text: str = member['type']
    if text == 'array':
        return f'array of {_value_text(member["items"])}'
    limits = _limits(member)
    return f'{text}, {limits}' if limits else text


def _limits(member: Schema) -> str:
    minimum: Any = member.get('minimum')
    exclusive_minimum: Any = member.get('exclusiveMinimum')
    if 'pattern' in member:
        pattern = member['pattern'].replace('|', '\\|')
        return f'`{pattern}`'
    if minimum is not None:
        return f'{minimum} to {member["maximum"]}'
    if exclusive_minimum is not None:
        return f'above {exclusive_minimum}, at most {member["maximum"]}'
    if 'minLength' in member:
        longest = member.get('maxLength')
        return (
            f'{member["minLength"]} to {longest or "any number of"} characters'
        )
    return ''
