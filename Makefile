VENV ?= .venv
PYTHON := $(VENV)/bin/python
SOURCES := hornbeampulley standins bench tests .ci/known_red.py
export HYPOTHESIS_PROFILE ?= ci
export PYTHONHASHSEED = 0

.PHONY: all env format check imports tests bench bench-core demo demo-serve test generate

all: test

env: $(VENV)/.stamp

$(VENV)/.stamp: requirements.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements-dev.txt
	touch $@

# The demo needs only what the programs need.
$(VENV)/.runtime: requirements.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.txt
	touch $@

format: env
	$(PYTHON) -m ruff format $(SOURCES)
	$(PYTHON) -m ruff check --fix $(SOURCES)

check: env
	$(PYTHON) -m ruff format --check $(SOURCES)
	$(PYTHON) -m ruff check --quiet $(SOURCES)
	$(PYTHON) -m flake8 $(SOURCES)

imports: env
	$(VENV)/bin/lint-imports --no-cache

tests: env
	$(PYTHON) .ci/known_red.py

test: check imports
	$(MAKE) --no-print-directory tests

bench: env
	$(PYTHON) -m bench

bench-core: env
	$(PYTHON) -m bench.cost

demo: $(VENV)/.runtime
	$(PYTHON) -m standins.demo

# Keeps the demo's fleet up for the curl lines of docs/CALLERS.md.
demo-serve: $(VENV)/.runtime
	$(PYTHON) -m standins.demo --serve

# Regenerates the committed code of the peer protocol; needs thrift-compiler.
generate:
	mkdir -p hornbeampulley/wire/generated
	thrift --gen py:slots -out hornbeampulley/wire/generated hornbeampulley/wire/peer.thrift
