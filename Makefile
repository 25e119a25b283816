PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
LIBS := $(wildcard libs/*) platform
SOURCES := $(wildcard libs/*/src) platform/src tests
STAMP := $(VENV)/.installed

.PHONY: install test test-beside test-unit test-capacity test-functional test-crowd lint format demo bench capacity fuzz soak days clean

$(STAMP): requirements.txt requirements-dev.txt $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach lib,$(LIBS),-e $(lib))
	touch $@

install: $(STAMP)

# What measures how much is served needs processor time to spare: it runs one test at a
# time beside the unit tests, which use one processor.
# Crowds of clients run one at a time, with nothing beside them.
# Each part runs even if another one fails.
test: install
	$(MAKE) --no-print-directory --keep-going test-beside test-functional test-crowd

test-beside: install
	$(MAKE) --no-print-directory -j 2 --output-sync=target test-unit test-capacity

# One process for what is generated, so that its examples are the same each time.
test-unit: install
	$(BIN)/python -m pytest tests/unit

test-capacity: install
	$(BIN)/python -m pytest tests/functional -m capacity

# Several processes for what waits for processes.
test-functional: install
	$(BIN)/python -m pytest tests/functional -m "not capacity and not crowd" -n 4 --dist loadfile

test-crowd: install
	$(BIN)/python -m pytest tests/functional -m crowd

lint: install
	$(BIN)/ruff format --no-cache --check $(SOURCES)
	$(BIN)/ruff check --no-cache $(SOURCES)
	$(BIN)/mypy $(SOURCES)

format: install
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

demo: install
	$(BIN)/clementinebend-bench demo

bench: install
	$(BIN)/clementinebend-bench run

capacity: install
	$(BIN)/clementinebend-bench capacity

fuzz: install
	CLEMENTINEBEND_FUZZ=1 $(BIN)/python -m pytest tests/unit -k "stateful or race or deltas"

# Seeds of the fault soak: make soak SEED=1 SEEDS=50
SEED ?= 1
SEEDS ?= 10
soak: install
	$(BIN)/python -m tests.soak $(SEED) $(SEEDS) 4

# The project's own days on the platform's bench:
#   make days BENCH=/path/to/fleetbench SITE=/path/to/site.toml
BENCH ?=
SITE ?=
days: install
	$(BIN)/python -m clementinebend_platform.days_main "$(BENCH)" "$(SITE)"

clean:
	rm -rf build $(VENV)
