VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

PACKAGES = packages/ashhoist packages/ashhoist-cli packages/ashhoist-standins packages/ashhoist-bench

.PHONY: demo serve test lint format venv bench bench-decisions bench-capacity soak

venv: $(VENV)/.installed

$(VENV)/.installed: constraints.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt \
		$(addprefix -e ,$(PACKAGES)) hypothesis mypy ruff
	touch $@

demo: venv
	$(BIN)/python -m ashhoist_bench.demo

serve: venv
	$(BIN)/python -m ashhoist_bench.demo --serve

test: venv lint
	$(BIN)/python -m tests $(if $(PROCESSES),--processes $(PROCESSES)) $(TESTS)

lint: venv
	$(BIN)/ruff format --check --quiet packages platform tests examples scripts
	$(BIN)/ruff check --quiet packages platform tests examples scripts
	$(BIN)/mypy --no-error-summary packages/*/src

format: venv
	$(BIN)/ruff format packages platform tests examples scripts
	$(BIN)/ruff check --fix packages platform tests examples scripts

bench: venv
	scripts/bench.sh $(BIN) all 8

bench-decisions: venv
	$(BIN)/python -m ashhoist_bench.report --cost
	$(BIN)/python -m ashhoist_bench.report --ablations

bench-capacity: venv
	$(BIN)/python -m ashhoist_bench.capacity
	scripts/bench.sh $(BIN) idle 2
	scripts/bench.sh $(BIN) idle 4
	scripts/bench.sh $(BIN) idle 8
	scripts/bench.sh $(BIN) idle 16

soak: venv
	$(BIN)/python -m ashhoist_bench.soak
