PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
JOBS ?= 4
SEEDS ?= 5
MINUTES ?= 0.33
HOSTS ?= 4
PROPERTY_TESTS := $(subst /,.,$(basename $(shell grep -rl --include='test_*.py' '^from hypothesis' tests)))
STAMP := $(VENV)/.installed

.PHONY: install test fuzz soak soak-regressions lint format demo demo-check clean

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

fuzz: install
	HYPOTHESIS_PROFILE=fuzz $(BIN)/python -m tests --jobs $(JOBS) $(PROPERTY_TESTS)

soak: install
	$(BIN)/python -m soak --seeds $(SEEDS) --minutes $(MINUTES) --hosts $(HOSTS)

soak-regressions: install
	$(BIN)/python -m soak --regressions

demo: install
	@$(BIN)/python -m standins.demo

demo-check: install
	@$(BIN)/python -m standins.demo --check

clean:
	rm -rf $(VENV) build *.egg-info
