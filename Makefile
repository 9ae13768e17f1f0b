GO ?= go
SEEDS ?= 20
SECONDS ?= 60

.PHONY: build test lint demo proof fuzz bench slopes report soak

build:
	$(GO) build -o bin/ ./cmd/...

test:
	GO="$(GO)" scripts/test.sh

lint:
	@unformatted=$$($(GO) tool gofumpt -l cmd examples internal pkg platform); \
	if [ -n "$$unformatted" ]; then echo "gofumpt: $$unformatted"; exit 1; fi
	$(GO) tool revive -config revive.toml -set_exit_status ./...
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

generate:
	$(GO) generate ./internal/wire

demo: build
	scripts/demo.sh

proof:
	scripts/proof.sh

fuzz:
	scripts/fuzz.sh $(SEEDS) $(SECONDS)

bench:
	$(GO) run ./cmd/bench Path
	$(GO) run ./cmd/bench Policy

slopes:
	$(GO) run ./cmd/bench Slopes

report:
	mkdir -p out
	$(GO) run ./cmd/bench Slopes --json > out/slopes.json
	$(GO) run ./cmd/bench Path --json > out/path.json
	$(GO) run ./cmd/bench Policy --json > out/policy.json
	$(GO) run ./cmd/bench Report --dir out

soak:
	SOAK_SEEDS=$(SEEDS) $(GO) test -count=1 -timeout 120m -v -run TestSoak ./internal/soak
