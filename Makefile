# Each goal does its own set-up: a virtual environment with the pinned dependencies.
VENV ?= .venv
PYTHON ?= python3
PACKAGES := bergamotcart bergamotcart-daemon bergamotcart-ctl bergamotcart-testkit
PLATFORM := platform
SOURCES := $(PACKAGES:%=packages/%/src) $(PLATFORM)/src
TESTED := packages integration $(PLATFORM)
CHECKED := conftest.py $(TESTED)
STAMP := $(VENV)/.installed-$(firstword $(shell cat constraints.txt packages/*/pyproject.toml platform/pyproject.toml | cksum))
empty :=
space := $(empty) $(empty)
# The sources of this checkout come before an installed copy of another checkout.
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(SOURCES)))

.PHONY: install test lint format demo fuzz soak mutants measure capacity

$(STAMP):
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -c constraints.txt setuptools wheel
	$(VENV)/bin/pip install --quiet -c constraints.txt pytest hypothesis ruff wemake-python-styleguide
	$(VENV)/bin/pip install --quiet --no-build-isolation -c constraints.txt \
		$(foreach package,$(PACKAGES),-e packages/$(package)) -e $(PLATFORM)
	touch $@

install: $(STAMP)

test: $(STAMP)
	$(VENV)/bin/python -m pytest $(TESTED)

lint: $(STAMP)
	$(VENV)/bin/ruff format --check $(CHECKED)
	$(VENV)/bin/ruff check $(CHECKED)
	$(VENV)/bin/flake8 $(CHECKED)

format: $(STAMP)
	$(VENV)/bin/ruff check --select I --fix $(CHECKED)
	$(VENV)/bin/ruff format $(CHECKED)

demo: $(STAMP)
	$(VENV)/bin/python -m bergamotcart_testkit.demo

fuzz: $(STAMP)
	$(VENV)/bin/python -m bergamotcart_testkit.fuzz $(ARGS)

soak: $(STAMP)
	$(VENV)/bin/python -m bergamotcart_platform.tests.soak $(ARGS)

mutants: $(STAMP)
	$(VENV)/bin/python -m bergamotcart_testkit.mutants $(ARGS)

measure: $(STAMP)
	$(VENV)/bin/python -m bergamotcart_testkit.measure $(ARGS)

capacity: $(STAMP)
	$(VENV)/bin/python -m bergamotcart_testkit.capacity $(ARGS)
