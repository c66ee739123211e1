PYTHON ?= python3.11
VENV := .venv
STAMP := $(VENV)/.installed
BIN := $(VENV)/bin

.PHONY: demo test lint format bench clean

$(STAMP): requirements/lock.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements/lock.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m examples.demo

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m tests.run

bench: $(STAMP)
	$(BIN)/python -m bench.latency

clean:
	rm -rf $(VENV) .pytest_cache .ruff_cache
