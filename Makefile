VENV ?= .venv
PYTHON := $(VENV)/bin/python
SOURCES := hornbeampulley standins bench tests .ci/known_red.py
export HYPOTHESIS_PROFILE ?= ci
export PYTHONHASHSEED = 0

.PHONY: all env format check imports tests bench bench-core demo test generate

all: test

env: $(VENV)/.stamp

$(VENV)/.stamp: requirements.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements-dev.txt
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

# Regenerates the committed code of the peer protocol; needs thrift-compiler.
generate:
	mkdir -p hornbeampulley/wire/generated
	thrift --gen py:slots -out hornbeampulley/wire/generated hornbeampulley/wire/peer.thrift
