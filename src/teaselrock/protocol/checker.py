"""Checks of JSON documents with comments against a schema.

All errors are found at once, each with its path and line. Rules over the
whole document come from `state.configuration` as a function.
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
from teaselrock.protocol.source_map import Path
from teaselrock.protocol.source_map import SourceMap
from teaselrock.state.configuration import Document

MAX_TEXT_BYTES: Final = 16 * 1024 * 1024
_JSON5_ERROR: Final = re.compile(r'^<string>:(\d+) (.*)$', re.DOTALL)
_MAX_SHOWN_CHARS: Final = 60
_TOO_DEEP: Final = 'nested too deeply'


class Diagnostic(NamedTuple):
    """An error in a document; `line` counts from 1."""

    line: int
    path: str
    detail: str

    def __str__(self) -> str:
        return f'{self.line}: {self.path or "document"}: {self.detail}'


class RuleViolation(NamedTuple):
    """An error that a rule over the whole document found."""

    path: Path
    detail: str


Rules = Callable[[Document], Sequence[RuleViolation]]


def no_rules(document: Document) -> Sequence[RuleViolation]:
    """Find nothing."""
    return ()


def format_path(path: Path) -> str:
    """Path such as `plans.basic.allow[0].service`."""
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
    """Parse and check the operators' configuration."""
    checked = _check(text, schemas.CONFIGURATION)
    if checked.is_error():
        return Error(checked.error)
    document: Document = checked.ok.value
    found = rules(document)
    if found:
        return Error(_sorted(checked.ok.positions, found))
    return Ok(document)


def check_settings(text: str) -> Result[Any, Sequence[Diagnostic]]:
    """Parse and check settings of a gateway."""
    checked = _check(text, schemas.SETTINGS)
    if checked.is_error():
        return Error(checked.error)
    return Ok(checked.ok.value)


class _Parsed(NamedTuple):
    value: Any
    positions: SourceMap


def _check(
    text: str, schema: schemas.Schema
) -> Result[_Parsed, Sequence[Diagnostic]]:
    parsed = _parse(text)
    if parsed.is_error():
        return Error((parsed.error,))
    try:
        return _validate(text, parsed.ok, schema)
    except RecursionError:
        return Error((Diagnostic(1, '', _TOO_DEEP),))


def _validate(
    text: str, value: Any, schema: schemas.Schema
) -> Result[_Parsed, Sequence[Diagnostic]]:
    positions = source_map.read(text)
    found = [
        RuleViolation(path, 'the key occurs twice')
        for path, _ in positions.duplicates
    ]
    # A non-finite number passes every range check of the schema.
    found += _non_finite(value, ())
    for error in jsonschema.Draft202012Validator(schema).iter_errors(value):
        found += _describe(error)
    if found:
        return Error(_sorted(positions, found))
    return Ok(_Parsed(value, positions))


def _parse(text: str) -> Result[Any, Diagnostic]:
    """Parse with the fast parser; json5 takes what that cannot read."""
    if len(text) > MAX_TEXT_BYTES:
        return Error(Diagnostic(1, '', f'exceeds {MAX_TEXT_BYTES} characters'))
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


def _non_finite(value: Any, path: Path) -> Iterator[RuleViolation]:
    if isinstance(value, float) and not math.isfinite(value):
        yield RuleViolation(path, 'the number is not finite')
    elif isinstance(value, dict):
        for key, member in value.items():
            yield from _non_finite(member, (*path, key))
    elif isinstance(value, list):
        for index, member in enumerate(value):
            yield from _non_finite(member, (*path, index))


def _describe(
    error: jsonschema.ValidationError,
) -> Iterator[RuleViolation]:
    """One problem for each unknown or missing member."""
    path: Path = tuple(error.absolute_path)
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
    """Keep long values, such as whole objects, out of messages."""
    match = re.match(r'^([\[{\'"].*) (is (?:not|too|a)|does not) ', message)
    if match is None or len(match[1]) <= _MAX_SHOWN_CHARS:
        return message
    return match[1][:_MAX_SHOWN_CHARS] + '...' + message[match.end(1) :]


def _sorted(
    positions: SourceMap, found: Sequence[RuleViolation]
) -> Sequence[Diagnostic]:
    return sorted(
        {
            Diagnostic(
                positions.line(problem.path),
                format_path(problem.path),
                problem.detail,
            )
            for problem in found
        }
    )
