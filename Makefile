BUILD ?= build
BUILD_TYPE ?= RelWithDebInfo
SANITIZER ?=
JOBS ?= $(shell nproc)
export PATH := /usr/lib/ccache:$(PATH)

.PHONY: all packages build test unit-test integration-test lint format-check tidy demo soak bench clean \
        sanitized-unit-test test-asan test-ubsan test-tsan

all: build

packages:
	@cmake/install_packages.sh

build: packages
	@cmake -G Ninja -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=$(BUILD_TYPE) -DWAXWINGWING_SANITIZER=$(SANITIZER) >/dev/null
	@ninja -C $(BUILD) -j $(JOBS)

# Everything that CI runs but lint.
test: build
	@tests/run_tests.sh $(BUILD)

unit-test: build
	@$(BUILD)/tests/unit_tests

integration-test: build
	@tests/run_tests.sh $(BUILD) integration

format-check: packages
	@git ls-files -co --exclude-standard '*.h' '*.cc' | xargs clang-format --dry-run -Werror

tidy: build
	@git ls-files -co --exclude-standard '*.cc' | grep -v catch_main.cc | \
	  xargs -P $(JOBS) -n 1 cmake/run_clang_tidy.sh $(BUILD)

lint: format-check tidy

demo: build
	@tests/demo.sh $(BUILD)

# Plays SOAK_SEEDS seeds of the fault soak from SOAK_FIRST on, SOAK_JOBS at a time.
SOAK_FIRST ?= 1
SOAK_SEEDS ?= 50
SOAK_JOBS ?= 3

soak: build
	@soak/run_soak.sh $(BUILD) $(SOAK_FIRST) $(SOAK_SEEDS) $(SOAK_JOBS)

bench: build
	@bench/run_bench.sh $(BUILD)

# Builds only what the unit tests need, with one sanitizer.
sanitized-unit-test: packages
	@cmake -G Ninja -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=Debug -DWAXWINGWING_SANITIZER=$(SANITIZER) >/dev/null
	@ninja -C $(BUILD) -j $(JOBS) unit_tests
	@$(BUILD)/tests/unit_tests

test-asan:
	@$(MAKE) --no-print-directory sanitized-unit-test BUILD=build-asan SANITIZER=address

test-ubsan:
	@$(MAKE) --no-print-directory sanitized-unit-test BUILD=build-ubsan SANITIZER=undefined

test-tsan:
	@$(MAKE) --no-print-directory sanitized-unit-test BUILD=build-tsan SANITIZER=thread

clean:
	@rm -rf build build-asan build-ubsan build-tsan
