# Needs Python 3.11 and make; everything else goes into .venv.
VENV := .venv
export PATH := $(CURDIR)/$(VENV)/bin:$(PATH)
export PYTHONPATH := $(CURDIR)
PYTHON ?= python3.11

.PHONY: prove demo up down test lint bench capacity clean

$(VENV)/ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -e '.[dev]'
	touch $@

demo: $(VENV)/ready
	scripts/demo.sh

up: $(VENV)/ready
	python -m standins layout run
	scripts/up.sh run
	python scripts/demo.py run --only-pool

down:
	scripts/down.sh run

test: $(VENV)/ready
	scripts/test.sh

lint: $(VENV)/ready
	ruff format --check .
	ruff check .
	mypy

prove: $(VENV)/ready
	scripts/prove.sh

bench: $(VENV)/ready
	scripts/bench.sh

capacity: $(VENV)/ready
	python -m benchmarks.capacity

clean:
	rm -rf $(VENV) run build *.egg-info .mypy_cache .ruff_cache .pytest_cache
