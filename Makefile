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

test:
	go test -race -count=1 -timeout 20m -skip '$(value SKIP)' ./...

demo:
	scripts/demo.sh
