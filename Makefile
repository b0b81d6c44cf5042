# Build, run and test banyanwalk.
MODULES := core infra services platform cmd tests
GOLANGCI_VERSION := v2.15.0
GOLANGCI := $(shell go env GOPATH)/bin/golangci-lint

.PHONY: build run test fmt lint vet capacity bench fuzz-seeds tools

build: ## build all programs into bin/
	go build -o bin/ ./cmd/...

run: build ## run the demo fleet, for callers on 127.0.0.1:8080
	bin/banyan-dev

test: ## run all tests with the race detector and fixed seeds
	go test -race -timeout 20m $(MODULES:%=./%/...)

fmt:
	gofmt -l -w $(MODULES)

vet:
	go vet $(MODULES:%=./%/...)

tools: $(GOLANGCI)

$(GOLANGCI):
	GOFLAGS= go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: $(GOLANGCI)
	@for m in $(MODULES); do echo "lint $$m"; (cd $$m && $(GOLANGCI) run --config ../.golangci.yml ./...) || exit 1; done

capacity: build ## measure the slopes of docs/CAPACITY.md on a temporary fleet
	scripts/capacity.sh

bench: ## run the benchmarks of the hot paths
	go test -run '^$$' -bench . -benchmem $(MODULES:%=./%/...)
