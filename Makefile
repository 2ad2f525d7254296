# make demo and make test are the only commands a new machine needs.
GOLANGCI := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BUF := go run github.com/bufbuild/buf/cmd/buf@v1.75.0
GOPLS := go run golang.org/x/tools/gopls@v0.23.0
SEED ?= 1
TESTFLAGS := -race -count=1 -timeout=15m -shuffle=$(SEED)

.PHONY: all build test lint fmt generate demo

all: lint test

build:
	go build -o bin/ ./cmd/...

# The process tests have bounds in real time, and those of internal/hostile count memory, so they
# run on their own.
test:
	go test $(TESTFLAGS) $$(go list ./... | grep -v -e /internal/e2e -e /internal/soak -e /internal/hostile)
	go test $(TESTFLAGS) ./internal/e2e
	go test $(TESTFLAGS) ./internal/soak
	go test -count=1 -timeout=15m ./internal/hostile

lint:
	go vet ./...
	$(GOLANGCI) run
	$(GOLANGCI) fmt --diff

fmt:
	$(GOLANGCI) fmt

generate:
	$(BUF) generate

demo: build
	./bin/goldcresthinge-load demo
