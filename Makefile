PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: install test lint demo soak bench-hop bench-overload bench-slopes bench-scenarios

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

test: install
	$(BIN)/nose2 -s tests -t .

lint: install
	$(BIN)/black --check --quiet src tests benches platform
	$(BIN)/ruff check src tests benches platform
	$(BIN)/lint-imports

demo: install
	$(BIN)/python -m benches.demo

soak: install
	SOAK=1 $(BIN)/nose2 -s tests -t . tests.test_consensus tests.test_repairs

.PHONY: fuzz
fuzz: install
	FUZZ_EXAMPLES=5000 FUZZ_SEED=1 env $(ARGS) $(BIN)/nose2 -s tests -t . tests.test_fuzz

.PHONY: soak-faults
soak-faults: install
	$(BIN)/python -m tests.soak $(ARGS)

bench-hop: install
	$(BIN)/python -m benches.hop $(ARGS)

bench-overload: install
	$(BIN)/python -m benches.overload $(ARGS)

bench-scenarios: install
	$(BIN)/python -m benches.scenarios $(ARGS)

bench-slopes: install
	$(BIN)/python -m benches.slopes $(ARGS)

.PHONY: bench-chaos
bench-chaos: install
	$(BIN)/python -m benches.chaos $(ARGS)
