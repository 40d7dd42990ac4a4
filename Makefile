POETRY_VERSION := 2.5.1
POETRY := .poetry/bin/poetry
RUN := .venv/bin/python
STAMP := .venv/.installed
export PYTHONHASHSEED := 0

.PHONY: demo test check unit processes spec chaos soak bench proto

$(POETRY):
	python3 -m venv .poetry
	.poetry/bin/pip install --quiet poetry==$(POETRY_VERSION)

$(STAMP): $(POETRY) poetry.lock pyproject.toml
	$(POETRY) install --quiet --no-interaction --compile
	$(RUN) -m compileall -q src
	touch $(STAMP)

demo: $(STAMP)
	$(RUN) -m devtools.demo $(if $(KEEP),--keep)

test: check
	$(RUN) -m devtools.run_tests tests -n 4

check: $(STAMP)
	$(RUN) -m ruff format --check .
	$(RUN) -m ruff check .
	$(RUN) -m mypy

unit: $(STAMP)
	$(RUN) -m pytest tests/unit

processes: $(STAMP)
	$(RUN) -m pytest tests/processes

spec: $(STAMP)
	$(RUN) -m devtools.spec.check

chaos: $(STAMP)
	$(RUN) -m devtools.chaos $(foreach seed,$(or $(SEED),1),--seed $(seed))

soak: $(STAMP)
	$(RUN) -m devtools.soak $(if $(SEED),$(foreach seed,$(SEED),--seed $(seed)),--fresh 5)

bench: $(STAMP)
	$(POETRY) install --quiet --no-interaction --with bench
	$(RUN) -m devtools.bench --out out

proto: $(POETRY)
	$(POETRY) install --quiet --with generator
	$(RUN) -m grpc_tools.protoc -I src --python_out=src --pyi_out=src src/shallotroad/protocol/peer.proto
