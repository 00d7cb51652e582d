#!/usr/bin/env bash
# Runs stand-ins and gateways as processes on loopback, disturbs them under
# load and compares callers, backend servers and report.
#
# PY  Python interpreter with the project's dependencies (default: that of
#     .venv, which is made if it is missing)
# Options are those of `python -m teaselrock.standins.demo.main`, such as
# --base-port.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=src
if [ -z "${PY:-}" ]; then
    make -s env
    PY=.venv/bin/python
fi
exec "$PY" -m teaselrock.standins.demo.main "$@"
