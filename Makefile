GO ?= go

.PHONY: build test lint fmt demo bench measure soak broken ablation

# Compiles both programs into bin/.
build:
	$(GO) build -o bin/ ./cmd/...

# Formatter check, linter, vet, race tests, and last the share of the soak, so that
# its failure does not hide a failing test.
test: lint
	scripts/production.sh
	scripts/test.sh
	scripts/soak-share.sh

lint:
	scripts/lint.sh

fmt:
	$(GO) tool gofumpt -l -w .

# A fleet of separate processes under mixed load with faults, checked against what the
# targets ran.
demo: build
	scripts/demo.sh

# Policies side by side under load; QUICK=1 for a short round.
bench: build
	scripts/bench.sh

# Times and costs of a fleet; PARTS names the parts, all by default.
measure: build
	scripts/measure.sh $(PARTS)

# Separate processes under faults, checked from outside: SEED is the first seed, by
# default the current time; further seeds follow for MINUTES.
SEED ?= $(shell date +%s)
MINUTES ?= 0
soak: build
	bin/standin soak --seed $(SEED) --for $(MINUTES)m --shrink

# Shows that tests and the soak catch builds that break a promise on purpose; takes
# about a quarter of an hour.
broken:
	ORIOLE_BROKEN=1 $(GO) test -timeout 60m -run 'TestBroken' -v ./internal/standin/mutator ./platform/soak

# Checks that each mechanism of the decisions can still be switched off and lists them. One is
# switched off in a scratch copy by `bin/standin ablate --root COPY MECHANISM`.
ablation: build
	$(GO) test -run TestBuildsWithoutEachMechanism ./internal/standin/ablator
	bin/standin ablate
