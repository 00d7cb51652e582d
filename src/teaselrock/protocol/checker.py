"""Validates configuration and settings, JSON with comments.

Reports all errors at once, each with its path and line. The rules for the
whole document, from `state.configuration`, are passed as a function.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import json
import math
import re
from typing import Any
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
import json5
import jsonschema

from teaselrock.protocol import schemas
from teaselrock.protocol import source_map
from teaselrock.protocol.source_map import MemberPath
from teaselrock.protocol.source_map import SourceMap
from teaselrock.state.configuration import Document

MAX_TEXT_CHARS: Final = 16 * 1024 * 1024
_JSON5_ERROR: Final = re.compile(r'^<string>:(\d+) (.*)$', re.DOTALL)
# Characters of a value that are shown in a message.
_MAX_SHOWN_CHARS: Final = 60
_TOO_DEEP: Final = 'nested too deeply'


class Diagnostic(NamedTuple):
    """An error in a document, with its line, counted from 1.

    The line is 0 if the file cannot be read.
    """

    line: int
    path: str
    detail: str

    def __str__(self) -> str:
        return f'{self.line}: {self.path or "document"}: {self.detail}'


class RuleViolation(NamedTuple):
    """An error at a path of a document, before its line is looked up."""

    path: MemberPath
    detail: str


Rules = Callable[[Document], Sequence[RuleViolation]]


def no_rules(document: Document) -> Sequence[RuleViolation]:
    """Accept every document."""
    return ()


def format_path(path: MemberPath) -> str:
    """Format a path, such as `plans.basic.allow[0].service`."""
    text = ''
    for step in path:
        if isinstance(step, int):
            text += f'[{step}]'
        elif re.fullmatch(r'[A-Za-z0-9_-]+', step):
            text += f'.{step}' if text else step
        else:
            text += f'[{json.dumps(step)}]'
    return text


def check_configuration(
    text: str, *, rules: Rules = no_rules
) -> Result[Document, Sequence[Diagnostic]]:
    """Parse and check a configuration; returns it or all its errors."""
    checked = _check(text, schemas.CONFIGURATION)
    if checked.is_error():
        return Error(checked.error)
    document: Document = checked.ok.value
    violations = rules(document)
    if violations:
        return Error(_sorted_diagnostics(checked.ok.positions, violations))
    return Ok(document)


def check_settings(text: str) -> Result[Any, Sequence[Diagnostic]]:
    """Parse and check the settings of a gateway; returns all errors."""
    checked = _check(text, schemas.SETTINGS)
    if checked.is_error():
        return Error(checked.error)
    return Ok(checked.ok.value)


class _ParsedDocument(NamedTuple):
    value: Any
    positions: SourceMap


def _check(
    text: str, schema: schemas.Schema
) -> Result[_ParsedDocument, Sequence[Diagnostic]]:
    parsed = _parse(text)
    if parsed.is_error():
        return Error((parsed.error,))
    try:
        return _validate(text, parsed.ok, schema)
    except RecursionError:
        return Error((Diagnostic(1, '', _TOO_DEEP),))


def _validate(
    text: str, value: Any, schema: schemas.Schema
) -> Result[_ParsedDocument, Sequence[Diagnostic]]:
    positions = source_map.read(text)
    violations = [
        RuleViolation(path, 'the key occurs more than once')
        for path, _ in positions.duplicates
    ]
    # A non-finite number passes every range check of the schema.
    violations += _non_finite_numbers(value, ())
    for error in jsonschema.Draft202012Validator(schema).iter_errors(value):
        violations += _schema_violations(error)
    if violations:
        return Error(_sorted_diagnostics(positions, violations))
    return Ok(_ParsedDocument(value, positions))


def _parse(text: str) -> Result[Any, Diagnostic]:
    """Parse with `json`, which is faster, and with json5 if that fails."""
    if len(text) > MAX_TEXT_CHARS:
        return Error(Diagnostic(1, '', f'exceeds {MAX_TEXT_CHARS} characters'))
    try:
        try:
            return Ok(json.loads(source_map.without_comments(text)))
        except json.JSONDecodeError:
            return Ok(json5.loads(text))
    except RecursionError:
        return Error(Diagnostic(1, '', _TOO_DEEP))
    except ValueError as error:
        match = _JSON5_ERROR.match(str(error))
        if match is None:
            return Error(Diagnostic(1, '', str(error)))
        return Error(Diagnostic(int(match[1]), '', match[2]))


def _non_finite_numbers(
    value: Any, path: MemberPath
) -> Iterator[RuleViolation]:
    if isinstance(value, float) and not math.isfinite(value):
        yield RuleViolation(path, 'the number is not finite')
    elif isinstance(value, dict):
        for key, member in value.items():
            yield from _non_finite_numbers(member, (*path, key))
    elif isinstance(value, list):
        for index, member in enumerate(value):
            yield from _non_finite_numbers(member, (*path, index))


def _schema_violations(
    error: jsonschema.ValidationError,
) -> Iterator[RuleViolation]:
    """Convert a schema error; each unknown member is a violation."""
    path: MemberPath = tuple(error.absolute_path)
    if error.validator == 'additionalProperties':
        schema: Any = error.schema
        instance: Any = error.instance
        for name in instance:
            if name not in schema.get('properties', {}):
                yield RuleViolation((*path, name), 'unknown member')
        return
    if error.validator == 'propertyNames':
        yield RuleViolation((*path, str(error.instance)), 'not a valid name')
        return
    yield RuleViolation(path, _shorten(error.message))


def _shorten(message: str) -> str:
    """Truncate a long value, such as a whole object, in a message."""
    match = re.match(r'^([\[{\'"].*) (is (?:not|too|a)|does not) ', message)
    if match is None or len(match[1]) <= _MAX_SHOWN_CHARS:
        return message
    return match[1][:_MAX_SHOWN_CHARS] + '...' + message[match.end(1) :]


def _sorted_diagnostics(
    positions: SourceMap, violations: Sequence[RuleViolation]
) -> Sequence[Diagnostic]:
    return sorted(
        {
            Diagnostic(
                positions.line(violation.path),
                format_path(violation.path),
                violation.detail,
            )
            for violation in violations
        }
    )
