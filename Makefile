# Two commands do all set-up: make demo, make test.

GO      ?= go
BIN     := bin
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo dev)
LDFLAGS := -X greengageweir/internal/common/cli.Version=$(VERSION)
SEED    ?= 1
DURATION ?= 60s
LOAD     ?= small
export CGO_ENABLED := 1

.PHONY: all build demo test lint fmt unit check-examples soak soak-jobs kill-each measures play score bench slopes clean

all: build

build:
	$(GO) build -ldflags "$(LDFLAGS)" -o $(BIN)/ ./cmd/...

demo: build
	scripts/demo-jobs.sh
	scripts/demo.sh

test: build lint check-examples unit

unit:
	WEIR_INVARIANTS_FATAL=1 GO=$(GO) scripts/unit.sh

lint: $(BIN)/tools/golangci-lint
	$(BIN)/tools/golangci-lint run ./...
	$(BIN)/tools/golangci-lint fmt --diff
	bash -n scripts/*.sh deploy/*.sh

fmt: $(BIN)/tools/golangci-lint
	$(BIN)/tools/golangci-lint fmt

$(BIN)/tools/golangci-lint: tools/go.mod tools/go.sum
	cd tools && $(GO) build -o ../$(BIN)/tools/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint

check-examples: build
	$(BIN)/weirctl config check --dir examples/alokchitra
	$(BIN)/weirctl config check --dir examples/retourpost
	$(BIN)/weirctl catalog check --strict --file examples/jobs/catalog.json
	$(BIN)/weirctl catalog check --strict --file examples/jobs/teams.json

soak: build
	scripts/soak.sh $(SEED) $(DURATION)

soak-jobs: build
	scripts/soak-jobs.sh $(SEED) $(DURATION)

kill-each: build
	scripts/kill-each.sh

measures: build
	scripts/measures.sh

# All policies of capacity, three seeds, in simulated time; LOAD is small,
# smallTrouble, grown or grownTrouble.
play:
	mkdir -p out
	WEIR_PLAY=$(LOAD) WEIR_PLAY_PLOT=$(CURDIR)/out/play-$(LOAD).svg $(GO) test -tags play -count=1 -v -run 'TestPlay$$' ./internal/standin/play

# A deployment's score with the users' bench: make score SITE=file FLEETBENCH=program
score:
	@test -n "$(SITE)" -a -n "$(FLEETBENCH)" || { echo "usage: make score SITE=file FLEETBENCH=program [WHY=text]"; exit 2; }
	$(FLEETBENCH) score $(SITE) --jobs 3 --why "$(WHY)"

bench: build
	$(GO) test -run '^$$' -bench . -benchmem ./...
	$(BIN)/weirstandin peaks

slopes: build
	$(BIN)/weirstandin slopes

clean:
	rm -rf $(BIN) out
