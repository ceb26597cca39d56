# DURATION and SEED of try; SEED, CHECKS and TIMEOUT of long; FUZZTIME, a time or a
# number of executions, of each target of fuzz.
DEPLOYMENT ?= authority
DURATION ?= 20s
SEED ?= 1
CHECKS ?= 20000
TIMEOUT ?= 2h
FUZZTIME ?= 200000x

.PHONY: build test lint try long fuzz bench

build:
	go build -o bin/currantturn ./cmd/currantturn

test:
	go test -race -count=1 ./...

lint:
	go tool gofumpt -w .
	go tool revive -config revive.toml -set_exit_status ./...

try: build
	bin/currantturn try $(DEPLOYMENT) --duration $(DURATION) --seed $(SEED)

# Randomised runs of every package that has them, longer than those of test.
long:
	go test -count=1 -timeout $(TIMEOUT) \
		$$(grep -rl --include='*_test.go' 'pgregory.net/rapid"' . | xargs -n1 dirname | sort -u) \
		-rapid.checks=$(CHECKS) -rapid.seed=$(SEED)

fuzz:
	set -e; grep -rHo --include='*_test.go' '^func Fuzz[A-Za-z]*' . | sed 's/:func / /' | \
	while read -r file target; do \
		go test -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZTIME) -parallel 2 "$$(dirname "$$file")"; \
	done

bench:
	go test -run '^$$' -bench . -benchmem ./...

.PHONY: capacity
capacity:
	go run ./internal/capacity/print docs/capacity/slopes.ini docs/CAPACITY.md

# Random schedules of the flow machines, SCHEDULES of them for each of JOBS seeds from SEED on, and
# a proof that they find the faults whose mends the patches take back.
SCHEDULES ?= 25000
EXPLORE = internal/coordination/flowbalancer
.PHONY: explore explore-proof
explore:
	@case "$(SEED)$(JOBS)$(SCHEDULES)" in *[!0-9]*) echo "SEED, JOBS and SCHEDULES are numbers" >&2; exit 2;; esac
	go test -c -o bin/explore ./$(EXPLORE)
	cd $(EXPLORE) && seq $(SEED) $$(($(SEED) + $(JOBS) - 1)) | xargs -P $(JOBS) -I{} sh -c \
		'"$(CURDIR)/bin/explore" -test.run "TestExplore$$" -rapid.nofailfile -rapid.seed={} -rapid.checks=$(SCHEDULES) && echo "seed {}: $(SCHEDULES) schedules clean"'

explore-proof:
	rm -rf bin/worktree && git worktree prune
	git worktree add --detach bin/worktree HEAD
	set -e; for patch in "$(CURDIR)"/$(EXPLORE)/testdata/mends/*.patch; do \
		git -C bin/worktree apply "$$patch" || { echo "$$patch no longer applies" >&2; exit 2; }; \
		if found=$$(cd bin/worktree && go test ./$(EXPLORE) -run 'TestExplore$$' -rapid.nofailfile -rapid.shrinktime 0s -rapid.seed=$(SEED) -rapid.checks=2000); then \
			echo "$$(basename "$$patch" .patch): not found in 2000 schedules" >&2; exit 1; \
		fi; \
		echo "$$(basename "$$patch" .patch): $$(echo "$$found" | grep -o 'failed after [0-9]* tests: .*' | head -n 1)"; \
		git -C bin/worktree checkout -q .; \
	done
	git worktree remove --force bin/worktree

# Processes of the program under randomized faults; SEEDS of them from SEED on.
SEEDS ?= 1
JOBS ?= 2
PROCESSES ?= 12
.PHONY: soak
soak: build
	go run ./cmd/soak --seed $(SEED) --seeds $(SEEDS) --jobs $(JOBS) --processes $(PROCESSES)

# The program of an earlier commit, bin/currantturn-COMMIT, and a soak that replaces its
# processes by those of the present build; LACKS are the guarantees that it does not know.
COMMIT ?=
LACKS ?=
.PHONY: previous soak-upgrade
previous:
	git rev-parse --verify --quiet "$(COMMIT)^{commit}" >/dev/null || { echo "COMMIT=$(COMMIT) is no commit" >&2; exit 2; }
	rm -rf bin/worktree && git worktree prune
	git worktree add --detach bin/worktree "$(COMMIT)"
	cd bin/worktree && go build -o "../currantturn-$(COMMIT)" ./cmd/currantturn
	git worktree remove --force bin/worktree

soak-upgrade: build previous
	go run ./cmd/soak --seed $(SEED) --seeds $(SEEDS) --jobs $(JOBS) --processes $(PROCESSES) --duration 20s \
		--previous "bin/currantturn-$(COMMIT)" $(foreach guarantee,$(LACKS),--previous-lacks $(guarantee))

# Scores and hunts of the regular sites; BENCH is the users' bench, PAGES the folder of their
# pages, WHY the reason for the journal.
BENCH ?=
PAGES ?=
WHY ?= regular run
.PHONY: regressions hunts
regressions:
	sed '/^#/d' deploy/regressions.txt | while read -r site _; do \
		"$(BENCH)" score "$(PAGES)/$$site" --jobs $(JOBS) --why "$(WHY)" </dev/null || exit 1; \
	done

hunts:
	sed '/^#/d' deploy/regressions.txt | while read -r site days; do \
		"$(BENCH)" hunt "$(PAGES)/$$site" --days "$$days" --jobs $(JOBS) --why "$(WHY)" </dev/null || exit 1; \
	done
