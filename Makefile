# Every target sets up the locked environment first, so each works on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
WORKERS ?= 6
PYTEST_ARGS ?=

.PHONY: setup demo test crowds lint model bench slopes microbench clean

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

setup: $(VENV)/.ready

demo: setup
	$(BIN)/python -m hawthorntrack.experiment.demo

# Side by side: tests take their ports by worker; those that run whole deployments stay
# with one of them and begin first.
test: setup
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadgroup -m "not crowd" $(PYTEST_ARGS)

# Crowds of connections against real processes, one test at a time.
crowds: setup
	$(BIN)/python -m pytest -n 0 -m crowd $(PYTEST_ARGS) \
		hawthorntrack/experiment/tests/test_crowds.py

lint: setup
	$(BIN)/ruff format --check hawthorntrack
	$(BIN)/ruff check hawthorntrack

# Searches the specifications, mutations included.
model: setup
	$(BIN)/python -m hawthorntrack.specs.main

# Compares placement policies; writes out/bench.json and out/bench.svg.
bench: setup
	$(BIN)/hawthorntrack-lab bench --rounds 3

# Measures what docs/CAPACITY.md is worked out from; writes out/slopes.json.
slopes: setup
	$(BIN)/hawthorntrack-lab slopes

# Times the pieces of the hot path, a batch of items at a time.
microbench: setup
	$(BIN)/python -m pytest --benchmark-enable hawthorntrack/experiment/tests/test_costs.py

clean:
	rm -rf $(VENV) out build *.egg-info
