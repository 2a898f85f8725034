# Everything a fresh machine with Python 3.11 needs: `make demo` and `make test`.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

# make bench SCENARIO=load60 runs one scenario, make bench all of them.
SCENARIO ?=

# make capacity measures the slopes of docs/CAPACITY.md anew.
.PHONY: bench capacity decisions report setup demo test format lint check model-check binary soak deployed-soak

$(READY): requirements-dev.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.lock
	touch $(READY)

setup: $(READY)

demo: $(READY)
	$(BIN)/python -m plantainhitch demo

test: $(READY)
	$(BIN)/python -m tests.run

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

model-check: $(READY)
	$(BIN)/python -m plantainhitch.verify

binary: $(READY)
	$(BIN)/python tools/make_binary.py
	$(BIN)/python tools/check_binary.py

bench: $(READY)
	$(BIN)/python -m benchmarks.bench $(SCENARIO)

decisions: $(READY)
	$(BIN)/python -m benchmarks.decisions
	$(BIN)/python -m benchmarks.variants

SEED ?= 1
MINUTES ?= 5

soak: $(READY)
	$(BIN)/python -m tests.soak --seed $(SEED) --minutes $(MINUTES)

# make deployed-soak SEEDS=1-50 plays that many schedules with the deployed programs.
SEEDS ?= 1-10

deployed-soak: $(READY)
	$(BIN)/python -m tests.deployed_soak --seeds $(SEEDS)

capacity: $(READY)
	$(BIN)/python -m benchmarks.capacity

report: $(READY)
	$(BIN)/python -m benchmarks.report
