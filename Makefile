VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: setup demo test lint faults soak scenarios golden binary docs bench capacity

setup: $(VENV)/.ready

$(VENV)/.ready: constraints.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

demo: setup
	$(BIN)/bluebellbeam demo

test: setup
	$(BIN)/python tools/run_tests.py

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

binary: setup
	mkdir -p build dist
	$(BIN)/pip wheel --quiet --disable-pip-version-check --no-deps -w build/wheel .
	$(BIN)/shiv --quiet -c bluebellbeam -o dist/bluebellbeam --reproducible \
		-p '/usr/bin/env python3' -- -c constraints.txt build/wheel/bluebellbeam-*.whl
	ls -l dist/bluebellbeam

golden: setup
	$(BIN)/python -m bluebellbeam.scenario.golden

faults: setup
	$(BIN)/python -m benchmarks.faults --count 10000
	$(BIN)/python -m benchmarks.faults --table

soak: setup
	$(BIN)/python -m bluebellbeam.platform.tests.config_soak --seed 1 --seconds 60

bench: setup
	$(BIN)/python -m benchmarks.policy
	$(BIN)/python -m benchmarks.decision
	$(BIN)/python -m benchmarks.daemon_cost

capacity: setup
	$(BIN)/python -m benchmarks.capacity

docs: setup
	$(BIN)/bluebellbeam write-references docs
	$(BIN)/python -m benchmarks.report
