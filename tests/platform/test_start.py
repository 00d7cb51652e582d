"""Signals that reach a gateway process while it starts."""

import pathlib
import signal
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]


def test_hang_up_does_not_end_a_starting_process(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against settings that change while a gateway starts.

    The default of SIGHUP ends a process that has no handler yet. Here the
    signal comes when the product's own imports begin.
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
    ended = subprocess.run([sys.executable, str(script)], check=False)
    assert ended.returncode != -signal.SIGHUP
    assert ended.returncode == 7
