"""Commands of the CLI: exit codes, output and calls to the services."""

import base64
from collections.abc import AsyncIterator
from collections.abc import Sequence
import json
import pathlib
import random
import re
from typing import Any
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
import pytest

from teaselrock.cli import main as cli
from teaselrock.cli import services
from teaselrock.cli.admin import CliImplementations
from teaselrock.cli.admin import CommandError
from teaselrock.cli.admin import CommandErrorKind
from teaselrock.cli.admin import OutOfServiceSection
from teaselrock.cli.admin import VersionSummary
from teaselrock.coordination.report_reader import RowQuery
from teaselrock.standins.clock import run_paused
from teaselrock.standins.store import MemoryStore
from teaselrock.standins.store import StoreModel
from teaselrock.state import Verdict
from teaselrock.state.configuration import empty_document
from teaselrock.state.report import AccountingRow
from teaselrock.state.report import Row
from teaselrock.state.report import SegmentCoverage

STORE_OPTION = ('--store', 'http://127.0.0.1:9')


ROWS = (
    Row('gw', 1, 1, 'shannon', 'p', 'desk', 'east', 'a', 5.0, units=12),
    Row(
        *('gw', 1, 2, 'a, b', 'p', 'desk', 'east', 'a', 6.0),
        verdict=Verdict.RAN,
        units=3,
    ),
)


class ScriptedReportReader:
    """Report with three rows, and segments 0 and 2 of one writer."""

    def __init__(self, rows: Sequence[Row] = ROWS) -> None:
        self._rows = rows

    async def rows(self, query: RowQuery) -> AsyncIterator[Row]:
        """Rows that match the query."""
        for row in self._rows:
            if query.matches(row):
                yield row

    async def accounting(
        self, query: RowQuery
    ) -> AsyncIterator[AccountingRow]:
        """A row of a customer with home regions."""
        yield AccountingRow('f00', 'home', 'p', 'desk', 4, Verdict.RAN)

    async def segment_coverage(
        self, query: RowQuery
    ) -> AsyncIterator[SegmentCoverage]:
        """Segment 1 is missing."""
        yield SegmentCoverage('gw', 1, 0, 10.0)
        yield SegmentCoverage('gw', 1, 2, 30.0, is_final=True)


class ScriptedConfigurationCommands:
    """Records calls; all of them fail with `error` if it is set."""

    def __init__(self, error: CommandError | None = None) -> None:
        self._error = error
        self.calls: list[tuple[Any, ...]] = []

    def _record_call(
        self, value: Any, *call: Any
    ) -> Result[Any, CommandError]:
        self.calls.append(call)
        return Ok(value) if self._error is None else Error(self._error)

    async def current(self) -> Result[Any, CommandError]:
        """Version 7."""
        return self._record_call((7, empty_document()), 'current')

    async def apply(self, **arguments: Any) -> Result[Any, CommandError]:
        """Version 8."""
        return self._record_call(8, 'apply', arguments['expected_version'])

    async def versions(self) -> Result[Any, CommandError]:
        """Two versions."""
        return self._record_call(
            (VersionSummary(1, 'first'), VersionSummary(2, 'x')), 'versions'
        )

    async def document_at(self, *, version: int) -> Result[Any, CommandError]:
        """A document that differs for each version."""
        document = empty_document()
        document['out_servers'][f's{version}'] = {'reason': 'test'}
        return self._record_call(document, 'document_at', version)

    async def roll_forward(self, *, version: int) -> Result[Any, CommandError]:
        """Version 9."""
        return self._record_call(9, 'roll_forward', version)

    async def set_out_of_service(
        self, **arguments: Any
    ) -> Result[Any, CommandError]:
        """Version 10."""
        return self._record_call(
            10, 'set_out_of_service', *map(str, arguments.values())
        )


def _run(
    arguments: Sequence[str],
    admin: ScriptedConfigurationCommands,
    report: ScriptedReportReader | None = None,
) -> int:
    scripted = CliImplementations(
        admin=lambda store: admin,
        report=lambda store: report or ScriptedReportReader(),
    )
    try:
        return cli.main(arguments, scripted)
    except SystemExit as exit_error:
        return int(exit_error.code or 0)


class Case(NamedTuple):
    """Arguments, exit code, the last call, and part of the output."""

    arguments: tuple[str, ...]
    code: int
    call: tuple[Any, ...] | None
    output: str


CASES = (
    Case(('apply', 'FILE', *STORE_OPTION), 0, ('apply', 7), 'version 8'),
    Case(
        ('apply', 'FILE', '--expect', '3', *STORE_OPTION),
        0,
        ('apply', 3),
        'version',
    ),
    Case(('apply', 'none.json', *STORE_OPTION), 1, None, ''),
    Case(('versions', *STORE_OPTION), 0, ('versions',), '1\tfirst\n2\tx\n'),
    Case(
        ('diff', '4', '5', *STORE_OPTION),
        0,
        ('document_at', 5),
        '+    "s5": {',
    ),
    Case(
        ('rollforward', '4', *STORE_OPTION),
        0,
        ('roll_forward', 4),
        'version 9',
    ),
    Case(('rollforward', 'four', *STORE_OPTION), 2, None, ''),
    Case(
        ('zone', 'out', 'east/a', '--reason', 'power', *STORE_OPTION),
        0,
        ('set_out_of_service', 'out_zones', 'east/a', 'power'),
        'version 10',
    ),
    Case(
        ('server', 'in', 's1', *STORE_OPTION),
        0,
        ('set_out_of_service', 'out_servers', 's1', 'None'),
        'version 10',
    ),
    Case(('zone', 'out', 'east/a', *STORE_OPTION), 2, None, ''),
    Case(('zone', 'in', 'east', *STORE_OPTION), 2, None, ''),
    Case(('zone', 'in', 'east/a'), 2, None, ''),
    Case(('report', 'finance', '--day', 'today', *STORE_OPTION), 2, None, ''),
    Case(('report', 'finance', *STORE_OPTION), 2, None, ''),
    Case(
        ('report', 'html', '--day', '1970-01-01', *STORE_OPTION), 2, None, ''
    ),
    Case(
        ('report', 'finance', '--day', '1970-01-01', *STORE_OPTION),
        0,
        None,
        'customer  plan  service  requests  units\n'
        'a, b      p     desk     1         3\n'
        'home      p     desk     1         4\n'
        'shannon   p     desk     1         12\n',
    ),
    Case(
        (
            'report',
            'operations',
            '--since',
            '1970-01-01T00:00:06',
            *STORE_OPTION,
        )
        + ('--until', '1970-01-01T00:00:07', '--zone', 'east/a')
        + ('--format', 'csv'),
        0,
        None,
        'number,customer,plan,service,arrived_at,path,outcome,units\n'
        'gw/1/2,"a, b",p,desk,east/a,,ran,3\n',
    ),
    Case(
        ('report', 'finance', '--day', '1970-01-01', '--format', 'json')
        + STORE_OPTION,
        0,
        None,
        '{"customer": "a, b", "plan": "p", "service": "desk", '
        '"requests": 1, "units": 3}\n',
    ),
    Case(('status', '--operators', '127.0.0.1:9'), 4, None, 'instance'),
    Case(('status', '--operators', 'bad host'), 4, None, 'instance'),
    Case(('check', 'FILE'), 0, None, 'valid; 0 customers'),
    Case(('check', '/'), 1, None, ''),
    Case(('unknown',), 2, None, ''),
)


@pytest.mark.parametrize(
    'case', CASES, ids=[' '.join(case.arguments[:3]) for case in CASES]
)
def test_command(
    case: Case, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against changed exit codes, and calls with wrong arguments."""
    path = tmp_path / 'c.json'
    path.write_text(json.dumps(empty_document()), 'utf-8')
    admin = ScriptedConfigurationCommands()
    arguments = [
        str(path) if part == 'FILE' else part for part in case.arguments
    ]
    assert _run(arguments, admin) == case.code
    assert (admin.calls[-1] if admin.calls else None) == case.call
    assert case.output in capsys.readouterr().out


@pytest.mark.parametrize(
    ('kind', 'code'),
    [
        (CommandErrorKind.REFUSED, 1),
        (CommandErrorKind.CONFLICT, 3),
        (CommandErrorKind.UNAVAILABLE, 4),
    ],
)
@pytest.mark.parametrize(
    'arguments',
    [
        ('versions',),
        ('diff', '1', '2'),
        ('rollforward', '1'),
        ('zone', 'in', 'east/a'),
    ],
)
def test_failed_changes(
    kind: CommandErrorKind,
    code: int,
    arguments: tuple[str, ...],
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a failed change that looks accepted.

    The error goes to standard error, and the exit code states its kind.
    """
    admin = ScriptedConfigurationCommands(
        CommandError(kind, 'why', ('plans.basic',))
    )
    assert _run((*arguments, *STORE_OPTION), admin) == code
    output = capsys.readouterr()
    assert output.out == ''
    assert 'why' in output.err
    assert 'plans.basic' in output.err


def test_commands_offered_without_services() -> None:
    """Guards against commands that are offered without their services."""
    usage = cli.make_parser(CliImplementations()).format_usage()
    assert '{check,status,explain,gateway}' in usage


def test_report_completeness(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against an incomplete report that looks complete.

    One segment of a writer is missing.
    """
    _run(
        ('report', 'finance', '--day', '1970-01-01', *STORE_OPTION),
        ScriptedConfigurationCommands(),
    )
    errors = capsys.readouterr().err
    assert (
        'gw/1: segments 1 are missing, stored up to 1970-01-01T00:00:10+00:00'
    ) in errors
    assert 'requests: 3, units: 19, outcome unknown: 1' in errors
    assert 'stored rows and report lines agree' in errors


def test_html_report(tmp_path: pathlib.Path) -> None:
    """Guards against markup injection, and a page that hides missing rows.

    The name of a customer contains markup.
    """
    page = tmp_path / 'report.html'
    day = ('--day', '1970-01-01', '--output', str(page))
    admin = ScriptedConfigurationCommands()
    rows = (ROWS[0]._replace(customer='<b>'), *ROWS[1:])
    report = ScriptedReportReader(rows)
    assert _run(('report', 'html', *day, *STORE_OPTION), admin, report) == 0
    text = page.read_text('utf-8')
    assert '<b>' not in text
    assert '<td>&lt;b&gt;</td>' in text
    assert '3 requests, 1 of them with unknown outcome' in text
    assert '<td class="number">12</td>' in text
    assert re.search(r'<td>gw/1</td>\s*<td>1970-01-01 00:00:10', text)
    plots = re.findall(r'base64,([^"]+)"', text)
    assert len(plots) == 2
    for plot in plots:
        assert base64.b64decode(plot).startswith(b'\x89PNG')


def test_paths_of_rule_violations() -> None:
    """Guards against rule violations that are reported for a wrong line.

    Names in the document may contain the separator of a path.
    """
    document = {'plans': {'a.b': {'allow': [{'service': 'x'}]}}}
    path = services.resolve_path('plans.a.b.allow.0.service', document)
    assert path == ('plans', 'a.b', 'allow', 0, 'service')


def test_versions_in_the_store() -> None:
    """Guards against a lost update, and a conflict without its edits.

    A change is applied on an outdated version.
    """

    async def run() -> None:
        store = MemoryStore(model=StoreModel(rng=random.Random(5)))
        admin = services.StoreConfigurationCommands(
            store=store, rng=random.Random(6)
        )
        first = empty_document()
        first['out_servers']['s1'] = {'reason': 'disk'}
        assert (await admin.apply(document=first, expected_version=0)).ok == 1
        zone_out = await admin.set_out_of_service(
            section=OutOfServiceSection.ZONES, name='east/a', reason='power'
        )
        assert zone_out.ok == 2
        conflict = await admin.apply(document=first, expected_version=1)
        assert conflict.error.kind is CommandErrorKind.CONFLICT
        assert conflict.error.changes == [
            'version 2: out_zones.east/a (power)'
        ]
        assert (await admin.roll_forward(version=1)).ok == 3
        assert (await admin.current()).ok == (3, first)
        assert [
            version.summary for version in (await admin.versions()).ok
        ] == [
            'out_servers.s1 (disk)',
            'out_zones.east/a (power)',
            'out_zones.east/a removed',
        ]
        missing = await admin.document_at(version=9)
        assert missing.error.kind is CommandErrorKind.REFUSED

    run_paused(run())
