# SKIP is a pattern of tests to skip, as for go test -skip.
SKIP ?=

.PHONY: all build check test demo

all: build

build:
	go build -o bin/ ./...

check:
	@out=$$(go tool gofumpt -l .); test -z "$$out" || { echo "gofumpt: $$out"; exit 1; }
	go vet ./...
	go tool staticcheck -checks all ./...

# The tests of CROWD measure the memory of processes, so they run by themselves, one at a time.
CROWD = wagtailhoist/platform/crowd

test:
	go test -race -count=1 -timeout 20m -skip '$(value SKIP)' $$(go list ./... | grep -vx '$(CROWD)')
	go test -race -count=1 -timeout 20m -p 1 -skip '$(value SKIP)' $(CROWD)

demo:
	scripts/demo.sh
