"""Checks of configuration texts, comments included."""

import json
import pathlib
from typing import NamedTuple

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from teaselrock.protocol import checker
from teaselrock.protocol import reference
from teaselrock.protocol import source_map

ROOT = pathlib.Path(__file__).parents[2]
KEY_SHA256 = 'a' * 64
VALID_TEXT = f"""\
// The configuration of one desk.
{{
  "customers": {{
    "c1": {{"plan": "basic", "key_sha256": ["{KEY_SHA256}"]}}
  }},
  "plans": {{
    "basic": {{
      "weight": 1, /* a share
                      of the queue */
      "allow": [
        {{
          "service": "desk",
          "regions": ["east"]
        }},
      ]
    }}
  }},
  "services": {{
    "desk": {{
      "prefix": "/desk",
      "concurrency": 6,
      "deadline_ms": 1000,
      "non_idempotent_methods": ["POST"]
    }}
  }},
  "out_zones": {{}},
  "out_instances": {{}},
  "out_servers": {{}}
}}
"""


class Case(NamedTuple):
    """Replacements in the valid text, and the diagnostics that they cause."""

    name: str
    edits: tuple[tuple[str, str], ...]
    diagnostics: tuple[tuple[int, str], ...]


CASES = (
    Case(
        'several errors',
        (
            ('"weight": 1', '"weight": 0'),
            ('"concurrency": 6', '"concurrency": "six"'),
            ('"out_zones": {}', '"out_zones": {}, "spare": 1'),
        ),
        (
            (8, 'plans.basic.weight'),
            (21, 'services.desk.concurrency'),
            (26, 'spare'),
        ),
    ),
    Case('missing', (('"prefix": "/desk",', ''),), ((19, 'services.desk'),)),
    Case(
        'in an array',
        (('"service": "desk"', '"service": 3'),),
        ((12, 'plans.basic.allow[0].service'),),
    ),
    Case(
        'window missing',
        (('"regions"', '"units_per_window": 5, "regions"'),),
        ((11, 'plans.basic.allow[0]'),),
    ),
    Case(
        'infinite rate',
        (('"regions"', '"rate_per_second": NaN, "regions"'),),
        ((13, 'plans.basic.allow[0].rate_per_second'),),
    ),
    Case(
        'key twice',
        (('"concurrency": 6', '"concurrency": 6, "concurrency": 7'),),
        ((21, 'services.desk.concurrency'),),
    ),
    Case('syntax', (('"weight": 1,', '"weight": ,'),), ((8, ''),)),
    Case('not an object', ((VALID_TEXT, '[1]'),), ((1, ''),)),
    Case('empty', ((VALID_TEXT, ''),), ((1, ''),)),
    Case(
        'same key with an escape',
        (('"concurrency": 6', '"concurrency": 6, "concurrenc\\u0079": 7'),),
        ((21, 'services.desk.concurrency'),),
    ),
    Case('deep array', ((VALID_TEXT, '[' * 950 + ']' * 950),), ((1, ''),)),
    Case('deep', ((VALID_TEXT, '[' * 5_000),), ((1, ''),)),
)


@pytest.mark.parametrize('case', CASES, ids=[case.name for case in CASES])
def test_invalid_configuration(case: Case) -> None:
    """Guards against an error that is missed or has the wrong line."""
    text = VALID_TEXT
    for old, new in case.edits:
        assert old in text
        text = text.replace(old, new)
    result = checker.check_configuration(text)
    assert result.is_error()
    found = tuple(
        (diagnostic.line, diagnostic.path) for diagnostic in result.error
    )
    assert found == case.diagnostics


def test_valid_text() -> None:
    """Guards against a valid configuration with comments that is refused."""
    result = checker.check_configuration(VALID_TEXT)
    assert result.is_ok()
    assert result.ok['services']['desk']['concurrency'] == 6


def test_rule_violations_have_lines() -> None:
    """Guards against rule violations without a line.

    Rules check the decoded document, which has no positions in the text.
    """
    violation = checker.RuleViolation(('plans', 'basic', 'allow', 0), 'no')
    result = checker.check_configuration(
        VALID_TEXT, rules=lambda _: (violation,)
    )
    assert result.error == [(11, 'plans.basic.allow[0]', 'no')]


JSON_VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
)


@settings(derandomize=True, deadline=None)
@given(value=JSON_VALUES)
def test_comments_keep_values(value: object) -> None:
    """Guards against parts of strings that are removed as comments.

    Strings may contain `//` and `/*`.
    """
    text = json.dumps(value, indent=1, ensure_ascii=False)
    assert json.loads(source_map.without_comments(text)) == value


@settings(derandomize=True, deadline=None)
@given(text=strategies.text() | strategies.text('{}[]:,"\'/*\\ a1\n'))
def test_arbitrary_text_is_refused(text: str) -> None:
    """Guards against an exception for arbitrary text.

    Any text must lead to a list of diagnostics.
    """
    assert checker.check_configuration(text).is_error()


def test_reference_is_current() -> None:
    """Guards against a reference page that differs from the schemas."""
    page = ROOT / 'docs' / 'operators' / 'configuration.md'
    assert page.read_text('utf-8') == reference.markdown()
