# Entry points: each target installs what it needs and can run after a clone.
JOBS ?= $(shell nproc)
BUILD ?= build

.PHONY: all setup build sanitized format format-check lint test check upgrade-check demo bench clean

all: build

setup:
	@bash scripts/setup.sh

build: setup
	@cmake -S . -B $(BUILD)/release -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD)/release -j $(JOBS)

sanitized: setup
	@cmake -S . -B $(BUILD)/sanitized -DCMAKE_BUILD_TYPE=Debug -DSANITIZE=ON >/dev/null
	@cmake --build $(BUILD)/sanitized -j $(JOBS)

format: setup
	@bash scripts/format.sh --write

format-check: setup
	@bash scripts/format.sh --check

lint: setup
	@bash scripts/lint.sh

test: sanitized
	@bash scripts/test.sh $(BUILD)/sanitized

check: format-check lint test

# Replaces hosts of an earlier version by this one, and back: FROM=COMMIT
upgrade-check: build
	@bash scripts/upgrade-check.sh $(BUILD)/release $(FROM) $(SEEDS)

demo: build
	@bash scripts/demo.sh $(BUILD)/release

bench: build
	@bash scripts/bench.sh $(BUILD)/release

clean:
	@rm -rf $(BUILD)
