# Everyday jobs, one word each. 'make help' lists them.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed-$(shell cat requirements*.txt | cksum | cut -d' ' -f1)
CODE := dotterelbridge platform standins bench tests

.DEFAULT_GOAL := help
.PHONY: help install run keep test format lint soak fuzz slopes bench journal docs clean

help: ## list the jobs
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

install: $(STAMP) ## make the virtual environment from pinned versions

$(STAMP):
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		-r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--no-deps --editable .
	touch $(STAMP)

run: install ## serve one chat and one booking end to end, then stop
	$(BIN)/python -m standins.demo

keep: install ## the same set-up, kept running until Ctrl-C
	$(BIN)/python -m standins.demo --keep

test: install ## run the whole test suite
	$(BIN)/python -m pytest

format: install ## format the code
	$(BIN)/ruff check --fix --quiet $(CODE)
	$(BIN)/ruff format --quiet $(CODE)

lint: install ## check format and style
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/python -m flake8 $(CODE)

soak: install ## run the long randomised tests
	$(BIN)/python -m pytest -m soak --timeout 3600 $(SOAK)

fuzz: install ## run the fuzz tests with thousands of fresh examples
	HYPOTHESIS_PROFILE=fuzz $(BIN)/python -m pytest --timeout 3600 \
		tests/test_fuzz.py

slopes: install ## measure the slopes behind docs/CAPACITY.md
	$(BIN)/python -m bench.slopes

bench: install ## replay the shipped traces against their outcomes
	$(BIN)/python -m bench.replay --all

journal: install ## write the page of the platform's runs from journal/
	$(BIN)/python -m bench.journal_page > docs/measurements/platform.md

docs: install ## write the generated pages (EVENTS, SETTINGS)
	$(BIN)/python -m dotterelbridge.cli.program config options \
		--markdown > docs/SETTINGS.md
	$(BIN)/python -m dotterelbridge.cli.program events \
		--markdown > docs/EVENTS.md

clean: ## remove the virtual environment and caches
	rm -rf $(VENV) .pytest_cache .ruff_cache .hypothesis run
