SHELL := /bin/bash
PYTHON ?= python3
VENV := .venv
SETUP := $(VENV)/.installed
TEST_PARTS := 4
export PYTHONHASHSEED := 0
export PATH := $(CURDIR)/$(VENV)/bin:$(PATH)

.PHONY: demo soak test bench policies capacity faults lint clean

demo: $(SETUP)
	bash bench/fleet.sh demo python -m bench.demo
	KEEP_ENTRIES=1 bash bench/fleet.sh soak python -m bench.demo_gateway

# Runs the features in as many processes as TEST_PARTS says.
test: $(SETUP)
	KEEP_ENTRIES=1 bash bench/fleet.sh nine bash bench/features.sh $(TEST_PARTS)

# Runs the seeds listed in SEEDS, such as 1,2; one random seed if it is empty.
soak: $(SETUP)
	KEEP_ENTRIES=1 bash bench/fleet.sh soak python -m bench.soak --seeds "$(SEEDS)"

bench: $(SETUP)
	bash bench/run.sh

# Compares the placement policies on emulated deployments of the users' sizes.
policies: $(SETUP)
	bash bench/policies.sh docs/samples/scenarios/metselvak.toml \
		docs/samples/scenarios/tsagaan-tal.toml

capacity: $(SETUP)
	bash bench/fleet.sh relay python -m bench.capacity

lint: $(SETUP)
	ruff format --check .
	ruff check .

$(SETUP): requirements.lock pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --editable .
	touch $(SETUP)

clean:
	rm -rf $(VENV) build

# Runs the failure matrix on a mock clock, then the soak against real gateways.
faults: $(SETUP)
	python -m bench.faults
	KEEP_ENTRIES=1 bash bench/fleet.sh soak python -m bench.soak --seeds 1,2,3,4,5,6,7,8,9,10
