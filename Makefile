GO ?= go
SEEDS ?= 20
SECONDS ?= 60

.PHONY: build test lint demo bench slopes report

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test -race ./...

lint:
	@unformatted=$$($(GO) tool gofumpt -l cmd examples internal pkg); \
	if [ -n "$$unformatted" ]; then echo "gofumpt: $$unformatted"; exit 1; fi
	$(GO) tool revive -config revive.toml -set_exit_status ./...
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

generate:
	$(GO) generate ./internal/wire

demo: build
	scripts/demo.sh

bench:
	$(GO) run ./cmd/bench Path
	$(GO) run ./cmd/bench Policy

slopes:
	$(GO) run ./cmd/bench Slopes
