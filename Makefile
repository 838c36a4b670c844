VENV := .venv
PYTHON := $(VENV)/bin/python
PACKAGES := $(wildcard packages/*) platform
STAMP := $(VENV)/.installed

.PHONY: install check format test docs demo bench proofs clean

install: $(STAMP)

$(STAMP): requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $(STAMP)

check: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(PYTHON) tools/check_lock.py

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: install
	$(VENV)/bin/pytest

demo: install
	$(VENV)/bin/guavafakes demo
	$(VENV)/bin/guavafakes demo --profile platform

bench: install
	$(PYTHON) bench/path.py
	$(PYTHON) bench/limits.py
	$(PYTHON) bench/placement.py
	$(PYTHON) bench/fleet.py
	$(PYTHON) bench/capacity.py

proofs: install
	$(VENV)/bin/pytest tests/specs -v

docs: install
	$(PYTHON) tools/reference_pages.py

clean:
	rm -rf $(VENV) var .pytest_cache .ruff_cache .hypothesis
