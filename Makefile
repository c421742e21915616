# `make demo` runs a fleet with injected faults; `make test` runs all linters and tests.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
JOBS ?= 6
READY := $(VENV)/.dev-ready

.PHONY: demo test scenarios clean

$(READY): requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check -r requirements.txt -r requirements-dev.txt
	touch $@

demo: $(READY)
	$(BIN)/python -m testbed demo

test: $(READY)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/lint-imports
	$(BIN)/mypy
	$(BIN)/python -m pytest -n $(JOBS) --dist worksteal

scenarios: $(READY)
	$(BIN)/python -m testbed run --all --jobs $(JOBS)

clean:
	rm -rf $(VENV) .ci-venv found
