PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(sort $(dir $(wildcard packages/*/pyproject.toml))) platform/
SOURCES := packages platform tools

.PHONY: run smoke test check format bench clean

# A mesh of the Riga shape on loopback addresses; stays up until Ctrl-C.
run: $(VENV)/ready
	$(BIN)/acaciayard-bench run

# The same, bounded in time, with a verdict as exit status.
smoke: $(VENV)/ready
	$(BIN)/acaciayard-bench smoke

test: $(VENV)/ready
	$(BIN)/python tools/run_tests.py

check: $(VENV)/ready
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)
	$(BIN)/mypy $(addsuffix src,$(PACKAGES)) tools
	$(BIN)/lint-imports
	$(BIN)/python tools/write_reference.py --check
	$(BIN)/python platform/check_names.py

format: $(VENV)/ready
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --fix --quiet $(SOURCES)

bench: $(VENV)/ready
	$(BIN)/acaciayard-bench latency

$(VENV)/ready: requirements/run.txt requirements/dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements/dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps \
		$(addprefix -e ,$(PACKAGES))
	touch $@

clean:
	rm -rf $(VENV) out
