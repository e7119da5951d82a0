# The README's two commands are `make demo` and `make test`.
# Each makes its own virtual environment from the pinned files.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint format generate bench binary clean

$(VENV)/.run: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $@

$(VENV)/.dev: $(VENV)/.run requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

demo: $(VENV)/.run
	$(BIN)/lycheepost demo

lint: $(VENV)/.dev
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports pyproject.toml
	$(BIN)/mypy
	$(BIN)/python tools/generate.py --check

test: lint
	$(BIN)/python tools/run_features.py

format: $(VENV)/.dev
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

generate: $(VENV)/.dev
	$(BIN)/python tools/generate.py

bench: $(VENV)/.dev
	$(BIN)/python tools/run_benches.py

binary: $(VENV)/.dev
	$(BIN)/python tools/build_binary.py
	$(BIN)/python tools/check_binary.py

clean:
	rm -rf $(VENV) build dist
