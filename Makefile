# Every goal except clean creates or updates .venv first, so a fresh machine needs no
# other setup.
PYTHON ?= python3
BIN := .venv/bin
ROUND ?= demo
FROM ?= HEAD~1

.PHONY: demo test lint measure upgrade clean

.venv/ready: constraints.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --constraint constraints.txt setuptools wheel
	$(BIN)/pip install --quiet --no-build-isolation --constraint constraints.txt \
		-e packages/fennelhill-core -e packages/fennelhilld \
		-e packages/fennelhill -e packages/fennelhill-bench \
		pytest pytest-bdd hypothesis ruff numpydoc rope
	touch .venv/ready

demo: .venv/ready
	$(BIN)/python -m fennelhill_bench demo

test: .venv/ready
	$(BIN)/python -m pytest

lint: .venv/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/numpydoc lint $$(git ls-files 'packages/*.py' | grep -v /tests/)

measure: .venv/ready
	$(BIN)/python -m fennelhill_bench measure --round=$(ROUND)

upgrade: .venv/ready
	$(BIN)/python -m fennelhill_bench upgrade --commit=$(FROM)

clean:
	rm -rf .venv
