"""`make demo`: runs a deployment and operates it by the command line.

Exits with 0 only if the records of callers and backend servers agree with
the report. Ends only the processes that it started, also after an error.
"""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import datetime
import json
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import Final
from typing import NoReturn

import urllib3

from teaselrock.standins.demo import compare
from teaselrock.standins.demo import deployment
from teaselrock.standins.load import Call
from teaselrock.transport.http_pool import create_pool

LOAD_S: Final = 24.0
READY_LIMIT_S: Final = 30.0
STOP_LIMIT_S: Final = 25.0
COMMAND_LIMIT_S: Final = 30.0
# Time for the keeper of a killed gateway's rows to detect its end and to flush
# the rows.
FLUSH_S: Final = 6.0
# Time until a zone that goes out of service gets no new requests.
DRAIN_S: Final = 2.0
ZONE: Final = ('north', 'a')
KILLED: Final = 'gw-east-b'
STOPPED: Final = 'gw-west-b'
EXAMPLE: Final = 'examples/liffeyline.json'


class DemoError(Exception):
    """A step of the demo failed."""


class Demo:
    """Processes and steps of one run of the demo."""

    def __init__(
        self,
        *,
        work: pathlib.Path,
        deployment_settings: deployment.Deployment,
        configuration: pathlib.Path,
    ) -> None:
        self._work_directory = work
        self._deployment = deployment_settings
        self._configuration = configuration
        self._pool = create_pool()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._since = datetime.datetime.now(datetime.UTC)

    def run(self) -> bool:
        """Run all steps; returns whether all counts agree."""
        self._start_fleet()
        self._cli('check', str(self._configuration))
        self._cli('apply', str(self._configuration), *self._store_options)
        self._wait_for_version(1)
        print_progress('gateways have the configuration:')
        print(self._cli('status', *self._store_options), flush=True)
        print_progress(f'load for {LOAD_S:g} s')
        self._start_load()
        out_zone_requests = self._inject_faults()
        self._wait_for_exit('load', LOAD_S + STOP_LIMIT_S)
        time.sleep(FLUSH_S)
        server_records = self._get_json(f'{self._deployment.store}/seen')
        print_progress('gateways after the load:')
        print(
            self._cli('status', *self._store_options, expect=(0, 4)),
            flush=True,
        )
        self._stop_gateways()
        return self._compare_records(server_records, out_zone_requests)

    def close(self) -> None:
        """Kill the processes that are still running."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()

    @property
    def _store_options(self) -> tuple[str, str]:
        return ('--store', self._deployment.store)

    def _start_fleet(self) -> None:
        print_progress('stand-ins and gateways start')
        self._spawn(
            'standins', 'teaselrock.standins.main', self._deployment.standins
        )
        self._wait_until('the store', self._store_answers)
        for settings in self._deployment.gateways:
            self._spawn(
                settings['instance'], 'teaselrock', settings, 'gateway'
            )
        self._wait_until('all gateways', self._gateways_are_listed)

    def _start_load(self) -> None:
        output = str(self._work_directory / 'calls.json')
        self._spawn(
            'load',
            'teaselrock.standins.load',
            self._deployment.load,
            trailing_arguments=('--output', output),
        )

    def _inject_faults(self) -> int:
        """Take a zone out and back, kill one gateway and stop another.

        Returns the number of requests that started in the zone from
        `DRAIN_S` after it went out of service.
        """
        zone = '/'.join(ZONE)
        time.sleep(3)
        print_progress(f'zone {zone} out of service')
        self._cli(
            'zone', 'out', zone, '--reason', 'demo', *self._store_options
        )
        time.sleep(DRAIN_S)
        runs_before = self._runs_in_zone()
        time.sleep(3)
        runs_after = self._runs_in_zone()
        print_progress(f'zone {zone} back in service')
        self._cli('zone', 'in', zone, *self._store_options)
        time.sleep(2)
        print_progress(f'SIGKILL to {KILLED}')
        self._processes[KILLED].kill()
        self._processes[KILLED].wait()
        time.sleep(3)
        print_progress(f'SIGTERM to {STOPPED}')
        self._stop_gateway(STOPPED)
        return runs_after - runs_before

    def _runs_in_zone(self) -> int:
        server_records = self._get_json(f'{self._deployment.store}/seen')
        return sum(
            (run['region'], run['zone']) == ZONE
            for server in server_records.values()
            for run in server['runs']
        )

    def _stop_gateways(self) -> None:
        print_progress('the other gateways stop')
        names = [
            settings['instance'] for settings in self._deployment.gateways
        ]
        running = [n for n in names if self._processes[n].poll() is None]
        for name in running:
            self._processes[name].send_signal(signal.SIGTERM)
        for name in running:
            self._stop_gateway(name)

    def _stop_gateway(self, name: str) -> None:
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        self._wait_for_exit(name, STOP_LIMIT_S)

    def _compare_records(
        self, server_records: Any, out_zone_requests: int
    ) -> bool:
        calls = json.loads(
            (self._work_directory / 'calls.json').read_text('utf-8')
        )
        since = ('--since', self._since.isoformat(timespec='seconds'))
        text = self._cli(
            *('report', 'operations', '--format', 'json'),
            *since,
            *self._store_options,
        )
        print(self._cli('report', 'finance', *since, *self._store_options))
        page = ('--output', str(self._work_directory / 'report.html'))
        print(self._cli('report', 'html', *page, *since, *self._store_options))
        rows = [json.loads(line) for line in text.splitlines()]
        (self._work_directory / 'operations.json').write_text(text, 'utf-8')
        print_progress('first rows of the report for operations:')
        for row in rows[:5]:
            print(json.dumps(row))
        comparisons = compare.compare(
            compare.Evidence(
                [Call(**call) for call in calls['calls']],
                server_records,
                rows,
                (KILLED,),
                deployment.HOME_REGION_CUSTOMERS,
            )
        )
        label = 'requests in the zone that is out, after 2 s'
        comparisons.append(compare.Comparison(label, 0, 0, out_zone_requests))
        print(f'calls: {len(calls["calls"])}, not sent: {calls["not_sent"]}')
        print_table(comparisons)
        return bool(rows) and all(
            comparison.is_within_bounds for comparison in comparisons
        )

    def _spawn(
        self,
        name: str,
        module: str,
        settings: Any,
        *leading_arguments: str,
        trailing_arguments: Sequence[str] = (),
    ) -> None:
        path = self._work_directory / f'{name}.json'
        path.write_text(json.dumps(settings), 'utf-8')
        with (self._work_directory / f'{name}.log').open('wb') as log:
            self._processes[name] = subprocess.Popen(
                (sys.executable, '-m', module, *leading_arguments)
                + ('--config', str(path), *trailing_arguments),
                stdout=log,
                stderr=log,
            )

    def _wait_for_exit(self, name: str, limit_s: float) -> None:
        exit_status = self._processes[name].wait(limit_s)
        if exit_status != 0:
            raise DemoError(f'process {name} exited with status {exit_status}')

    def _cli(self, *arguments: str, expect: tuple[int, ...] = (0,)) -> str:
        """Run a `teaselrock` command; returns its standard output."""
        completed = subprocess.run(
            (sys.executable, '-m', 'teaselrock', *arguments),
            stdout=subprocess.PIPE,
            timeout=COMMAND_LIMIT_S,
            text=True,
            check=False,
        )
        if completed.returncode not in expect:
            raise DemoError(
                f'teaselrock {arguments} exited '
                f'with status {completed.returncode}'
            )
        return completed.stdout.rstrip('\n')

    def _get_json(self, url: str) -> Any:
        return json.loads(self._pool.request('GET', url, timeout=10.0).data)

    def _store_answers(self) -> bool:
        return isinstance(
            self._get_json(f'{self._deployment.store}/objects?prefix=config/'),
            list,
        )

    def _gateways_are_listed(self) -> bool:
        listed = self._get_json(
            f'{self._deployment.store}/objects?prefix=members/'
        )
        return len(listed) == len(self._deployment.gateways)

    def _wait_for_version(self, version: int) -> None:
        def is_in_force() -> bool:
            statuses = [
                self._get_json(f'http://{settings["operators_listen"]}/status')
                for settings in self._deployment.gateways
            ]
            gateway_count = len(self._deployment.gateways)
            return all(
                status['version'] >= version
                and status['ready']
                and len(status['members']) == gateway_count
                for status in statuses
            )

        self._wait_until(f'version {version} everywhere', is_in_force)

    def _wait_until(self, awaited: str, is_done: Callable[[], bool]) -> None:
        limit = time.monotonic() + READY_LIMIT_S
        while True:
            for name, process in self._processes.items():
                if process.poll() is not None:
                    raise DemoError(
                        f'process {name} exited during the start of the demo'
                    )
            try:
                if is_done():
                    return
            except (urllib3.exceptions.HTTPError, ValueError):
                # The process doesn't listen yet, or isn't ready.
                pass
            if time.monotonic() > limit:
                raise DemoError(
                    f'timed out after {READY_LIMIT_S:g} s '
                    f'waiting for {awaited}'
                )
            time.sleep(0.2)


def print_progress(text: str) -> None:
    """Print progress."""
    print(f'--- {text}', flush=True)


def print_table(comparisons: Sequence[compare.Comparison]) -> None:
    """Print all comparisons with their bounds."""
    width = max(len(comparison.label) for comparison in comparisons)
    print(f'{"count":{width}}  {"expected":>11}  {"found":>7}  agrees')
    for comparison in comparisons:
        expected = str(comparison.minimum)
        if comparison.maximum != comparison.minimum:
            expected = f'{comparison.minimum} to {comparison.maximum}'
        print(
            f'{comparison.label:{width}}  {expected:>11}  '
            f'{comparison.found:>7}  '
            f'{"yes" if comparison.is_within_bounds else "NO"}'
        )


def _terminate(signal_number: int, frame: object) -> NoReturn:
    raise SystemExit(128 + signal_number)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the demo; returns 0 if all counts agree."""
    parser = argparse.ArgumentParser(prog='teaselrock-demo')
    parser.add_argument(
        '--base-port', type=int, help='first port (default: free ports)'
    )
    parser.add_argument(
        '--configuration', type=pathlib.Path, default=pathlib.Path(EXAMPLE)
    )
    parser.add_argument(
        '--keep', action='store_true', help='keep settings, logs and results'
    )
    options = parser.parse_args(arguments)
    signal.signal(signal.SIGTERM, _terminate)
    with deployment.ports(base=options.base_port) as ports:
        deployment_settings = deployment.make_deployment(
            next_address=lambda: f'{deployment.HOST}:{next(ports)}',
            seconds=LOAD_S,
        )
    work = pathlib.Path(tempfile.mkdtemp(prefix='teaselrock-demo-'))
    demo = Demo(
        work=work,
        deployment_settings=deployment_settings,
        configuration=options.configuration,
    )
    all_agree = False
    try:
        all_agree = demo.run()
    except (
        DemoError,
        OSError,
        ValueError,
        subprocess.TimeoutExpired,
        urllib3.exceptions.HTTPError,
    ) as error:
        print_progress(f'failed: {error}')
    finally:
        demo.close()
        if options.keep or not all_agree:
            print_progress(f'settings, logs and results are in {work}')
        else:
            shutil.rmtree(work)
    print_progress('all counts agree' if all_agree else 'NOT all counts agree')
    return 0 if all_agree else 1


if __name__ == '__main__':
    raise SystemExit(main())
