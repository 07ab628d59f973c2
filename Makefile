# Each target sets up all it needs on a fresh machine with Python 3.11 and pip.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
FLEET ?= apcf

.PHONY: demo test fleet golden bench setup clean

setup: $(READY)

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(READY)
	$(BIN)/python -m scripts.demo

test: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python -m scripts.run_tests

fleet: $(READY)
	$(BIN)/python -m scripts.fleet --shape $(FLEET)

bench: $(READY)
	$(BIN)/python -m scripts.bench

golden: $(READY)
	UPDATE_GOLDEN=1 $(BIN)/python -m unittest tests.test_golden

clean:
	rm -rf $(VENV) build *.egg-info
