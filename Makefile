# VENV may name an existing environment, so that several work trees share one.
VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := src

.PHONY: env format lint test demo bench soak
env: $(VENV)/.installed

# ENV_READY=1 uses the environment as it is.
ifndef ENV_READY
$(VENV)/.installed: pyproject.toml requirements.txt
endif
$(VENV)/.installed:
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.txt
	touch $@

format: env
	$(PY) -m ruff check -q --select I --fix src tests
	$(PY) -m ruff format -q src tests

lint: env
	$(PY) -m ruff format --check src tests
	$(PY) -m ruff check src tests
	$(PY) -m flake8 src tests
	$(PY) -m mypy
	$(VENV)/bin/lint-imports

test: env
	$(PY) -m pytest

demo: env
	PY=$(PY) scripts/demo.sh

bench: env
	$(PY) -m teaselrock.bench short

# Fresh seeds: `make soak SOAK="--seeds 50 --start 1000 --seconds 12"`.
SOAK ?= --seeds 5 --start 1 --seconds 10
soak: env
	$(PY) tests/soak/soak.py $(SOAK)
