# The two commands of the README are `make demo` and `make test`; the rest
# serves development and CI.
BUILD ?= build
JOBS ?= $(shell nproc)
AREA ?= all
SEEDS ?= 1,2,3
# One compiler cache serves every checkout of the tree.
export CCACHE_BASEDIR = $(CURDIR)
export CCACHE_NOHASHDIR = 1
CXX_FILES := $(wildcard include/sardinelead/*.h src/*.h src/*.cc daemons/*.h \
	daemons/*.cc demo/*.h demo/*.cc platform/*.h platform/*.cc soak/*.h soak/*.cc tests/*.h tests/*.cc bench/*.h bench/*.cc)

.PHONY: all packages build demo test bench capacity sanitize spec format \
	check-format lint clean

all: build

packages:
	@scripts/install-packages

build: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

demo: build
	@scripts/demo $(BUILD)

test: build spec
	@scripts/run-tests $(BUILD)

bench: build
	@$(BUILD)/sardinelead_bench --area=$(AREA) --seeds=$(SEEDS)

capacity: build
	@$(BUILD)/sardinelead_bench --area=capacity --seeds=$(SEEDS)

# Address and undefined behaviour over all tests; threads over the tests of
# concurrent parts.
sanitize: packages
	@cmake -S . -B build-asan -G Ninja -DSANITIZE=address,undefined >/dev/null
	@cmake --build build-asan -j $(JOBS) --target sardinelead_tests
	@build-asan/sardinelead_tests --quick
	@cmake -S . -B build-tsan -G Ninja -DSANITIZE=thread >/dev/null
	@cmake --build build-tsan -j $(JOBS) --target sardinelead_tests
	@build-tsan/sardinelead_tests --quick --filter=Concurrent

spec: packages
	@scripts/run-spec

format:
	@clang-format -i $(CXX_FILES)

check-format:
	@clang-format --dry-run -Werror $(CXX_FILES)

lint: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@scripts/lint $(BUILD) $(JOBS)

clean:
	@rm -rf build build-asan build-tsan
