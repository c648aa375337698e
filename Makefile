VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: test demo soak measure lint format types venv rebuild clean
.DEFAULT_GOAL := test

# A venv counts as sound when it can import the package and was made from this lock.
venv:
	@if ! cmp -s constraints.txt $(VENV)/constraints.txt \
		|| ! $(BIN)/python -c "import aiohttp, burdockmill, mypy, pytest" 2>/dev/null; \
		then $(MAKE) --no-print-directory rebuild; fi

rebuild:
	rm -rf $(VENV)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		-c constraints.txt -e ".[dev]"
	cp constraints.txt $(VENV)/constraints.txt

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: venv
	$(BIN)/mypy

test: lint types
	$(BIN)/python -m pytest -m "not known_red"

format: venv
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

demo: venv
	@$(BIN)/python -m burdockmill demo

SEED ?= 1
MINUTES ?= 2
HOSTS ?= 3
soak: venv
	$(BIN)/python -m soak --seed $(SEED) --minutes $(MINUTES) --hosts $(HOSTS) \
		$(if $(PREVIOUS),--previous $(PREVIOUS)) $(if $(HOSTILE),--hostile) \
		$(if $(PROMISES),--promises)

measure: venv
	$(BIN)/python -m measure

clean:
	rm -rf $(VENV) build *.egg-info
