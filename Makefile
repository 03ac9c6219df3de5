PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
JOBS ?= 4
STAMP := $(VENV)/.installed

.PHONY: install test lint format demo demo-check clean

install: $(STAMP)

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $(STAMP)

lint: install
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .

format: install
	$(BIN)/black --quiet .
	$(BIN)/ruff check --fix --quiet .

test: install
	$(BIN)/python -m tests --jobs $(JOBS)

demo: install
	@$(BIN)/python -m standins.demo

demo-check: install
	@$(BIN)/python -m standins.demo --check

clean:
	rm -rf $(VENV) build *.egg-info
