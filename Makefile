# Developer commands. All but clean first set up .venv if a requirements or project file
# has changed.
# Variables: SEED and STEPS for fuzz; QUICK=1 for a short bench; SEED, SEEDS and MINUTES
# for soak; WORKERS, JOBS (a second) and SECONDS for profile.
PY := .venv/bin/python
STAMP := .venv/.ready
SEED ?=
STEPS ?=
QUICK ?=

.PHONY: env demo test model fuzz bench lint format clean

$(STAMP): requirements-dev.txt requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml standins/pyproject.toml
	python3.11 -m venv .venv
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(PY) -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps --config-settings editable_mode=compat \
		-e packages/kernel -e packages/scheduler -e packages/daemon -e packages/client -e platform -e standins
	touch $(STAMP)

env: $(STAMP)

demo: $(STAMP)
	$(PY) -m bench.demo

test: $(STAMP)
	$(PY) -m tools.run_tests

model: $(STAMP)
	$(PY) -m models.run

fuzz: $(STAMP)
	$(PY) -m fuzz.run "$(SEED)" "$(STEPS)"

bench: $(STAMP)
	QUICK="$(QUICK)" $(PY) -m bench.run

lint: $(STAMP)
	$(PY) -m ruff check .
	$(PY) -m ruff format --check .

format: $(STAMP)
	$(PY) -m ruff check --fix .
	$(PY) -m ruff format .

clean:
	rm -rf .venv out

SEEDS ?=
MINUTES ?=
.PHONY: soak
soak: $(STAMP)
	SEED="$(SEED)" SEEDS="$(SEEDS)" MINUTES="$(MINUTES)" $(PY) -m soak.run

WORKERS ?=
JOBS ?=
SECONDS ?=
.PHONY: profile
profile: $(STAMP)
	WORKERS="$(WORKERS)" JOBS="$(JOBS)" SECONDS="$(SECONDS)" $(PY) -m bench.profile

LOG ?=
.PHONY: losses
losses: $(STAMP)
	LOG="$(LOG)" $(PY) -m bench.losses
