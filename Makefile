# Targets: build, test, unit, crowds, simulations, demo, bench, cost, lint, fmt, fuzz, generate, tools, clean.

GOBIN := $(shell go env GOPATH)/bin
LINT_VERSION := v2.15.0
LINT := $(GOBIN)/golangci-lint
GOPLS_VERSION := v0.22.0
GOPLS := $(GOBIN)/gopls
PROTOC_GEN_GO_VERSION := v1.36.12

.PHONY: build test unit endless crowds simulations lint fmt vet demo bench cost fuzz generate tools clean

# Builds both programs into bin/.
build:
	go build -o bin/ ./cmd/...

# Everything that CI checks.
test: lint vet unit endless crowds simulations

# The tests and subtests that KNOWN-RED.txt names are printed and passed over, and no others.
RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_/]*\).*/^\1$$/p' KNOWN-RED.txt | sed 's,/,$$/^,g' | paste -sd'|')

# A package that takes longer hangs: the longest takes some 80 s alone, and CI has 90
# minutes for all.
TEST_TIMEOUT := 15m

# The packages whose tests run by themselves, in steps of their own.
ALONE := /platform/endless$$

# The tests that measure a process before many callers. They run alone and without the race
# detector, since their crowds take memory and descriptors themselves.
CROWDS := ^Test(Crowd|CalmCallers)

# The pattern of the crowds stands first, since the first that fits a test decides: a pattern of
# one of its subtests doesn't skip the test.
unit:
	@cat KNOWN-RED.txt
	go test -race -timeout $(TEST_TIMEOUT) -skip '$(CROWDS)$(if $(RED),|$(RED))' $$(go list ./... | grep -Ev '$(ALONE)')

# What upstreams can make processes hold. The race detector would multiply it.
endless:
	go test -count=1 -timeout $(TEST_TIMEOUT) $(if $(RED),-skip '$(RED)') ./platform/endless

crowds:
	go test -count=1 -p 1 -timeout $(TEST_TIMEOUT) $(if $(RED),-skip '$(RED)') -run '$(CROWDS)' ./platform

# The simulations of cached prompt prefixes, without the race detector.
simulations:
	go test -timeout $(TEST_TIMEOUT) $(if $(RED),-skip '$(RED)') -run '^TestPrefix' ./core/pool

# Searches for new inputs on which the readers of what upstreams send fail. Each run tries others,
# so that CI doesn't run it: its inputs are those of testdata/fuzz and of TestGenerated. An input
# that fails is written to testdata/fuzz, to be committed with its fix.
# More: make fuzz FUZZ_RUNS=10000000x
FUZZ_RUNS := 100000x

fuzz:
	go test ./io/http1 -run '^$$' -fuzz '^FuzzReadAnswer$$' -fuzztime $(FUZZ_RUNS)
	go test ./core/event -run '^$$' -fuzz '^FuzzScanner$$' -fuzztime $(FUZZ_RUNS)

vet:
	go vet ./...

lint: $(LINT)
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "not formatted, run make fmt: $$unformatted"; exit 1; fi
	$(LINT) run ./...

fmt: $(LINT)
	$(LINT) fmt ./...

# Installs the linter, and the language server for renames, where they are missing.
tools: $(LINT) $(GOPLS)

$(LINT):
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

$(GOPLS):
	go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

# Needs protoc; its output is committed, so that a build does not need it.
generate:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	PATH="$(GOBIN):$$PATH" protoc --go_out=. --go_opt=module=arbutustrestle io/wire/wire.proto

# Starts the stand-ins and the entry instances and walks through the main job, then does
# the same for gateways before stand-ins of a store and an upstream.
demo: build
	go run ./cmd/demo
	go test -count=1 -v -run '^TestWholePath$$' ./platform

# Prints the cost of each decision and of idle processes at growing sizes, and the
# slopes. Takes some twenty minutes; other work on the machine shows in the times.
bench:
	@mkdir -p bin
	go test -run '^$$' -bench . -benchmem -timeout 30m ./core/... ./io/... > bin/bench.txt || { cat bin/bench.txt; exit 1; }
	go run ./cmd/slopes < bin/bench.txt

# Measures the processor time of an entry for each streamed token.
cost: build
	go run ./cmd/cost

clean:
	rm -rf bin
