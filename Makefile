# Every target sets itself up: a virtual environment with pinned dependencies.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint schemas clean

$(STAMP): pyproject.toml requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/yarrowwall demo

# ONLY="features/NAME.feature ..." runs some features.
test: $(STAMP)
	$(BIN)/python -m features.run $(ONLY)

lint: $(STAMP)
	$(BIN)/ruff format --check yarrowwall features
	$(BIN)/ruff check yarrowwall features
	$(BIN)/mypy yarrowwall/*.py yarrowwall/budgets yarrowwall/capacity yarrowwall/dispatch yarrowwall/gateway yarrowwall/machine yarrowwall/messages yarrowwall/platform yarrowwall/policy yarrowwall/ports yarrowwall/quotas yarrowwall/replication yarrowwall/standalone/core yarrowwall/storage yarrowwall/watching

schemas: $(STAMP)
	$(BIN)/python -m yarrowwall.messages.generate

clean:
	rm -rf $(VENV)
