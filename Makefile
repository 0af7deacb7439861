# Sedgemast needs Go and make; `make run` and `make test` do all set-up.

GO ?= go
BIN := bin

.PHONY: all build run test vet fmt-check generate

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

run: build
	$(BIN)/sedgemast dev

test:
	$(GO) test ./...

vet:
	$(GO) vet ./...

fmt-check:
	@files=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$files" ]; then echo "gofmt would change: $$files"; exit 1; fi

generate:
	$(GO) run github.com/tinylib/msgp@v1.6.5 -version >/dev/null 2>&1 || true
	PATH="$$($(GO) env GOPATH)/bin:$$PATH" $(GO) generate ./internal/wire
