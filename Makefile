PYTHON ?= python3.11
VENV = .venv
STAMP = $(VENV)/.installed

.PHONY: setup demo test check bench

setup: $(STAMP)

$(STAMP): pyproject.toml requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/crocus-demo

test: $(STAMP)
	$(VENV)/bin/pytest

check: $(STAMP)
	$(VENV)/bin/ruff format --check crocusshunt
	$(VENV)/bin/flake8 crocusshunt
	$(VENV)/bin/mypy

bench: $(STAMP)
	$(VENV)/bin/python -m crocusshunt.bench
