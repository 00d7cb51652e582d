"""Signals to a gateway process that is starting."""

import pathlib
import signal
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]


def test_sighup_does_not_end_a_starting_process(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a SIGHUP that ends a gateway while it starts.

    Settings may change at any time, and the default action of SIGHUP ends a
    process without a handler. Here the signal arrives when the imports of
    `teaselrock` begin.
    """
    script = tmp_path / 'start.py'
    script.write_text(
        'import runpy, signal, sys\n'
        'sys.modules["teaselrock"] = None\n'
        'try:\n'
        f'    runpy.run_path({str(ROOT / "deploy/gateway.py")!r})\n'
        'except ImportError:\n'
        '    signal.raise_signal(signal.SIGHUP)\n'
        '    sys.exit(7)\n',
        'utf-8',
    )
    process = subprocess.run([sys.executable, str(script)], check=False)
    assert process.returncode != -signal.SIGHUP
    assert process.returncode == 7
