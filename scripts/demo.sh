#!/usr/bin/env bash
# Runs the system on loopback: a simulated platform, two entries, and an agent with a minion in each of two
# regions. Exits 0 if every step succeeded and every process stopped gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."

export WAGTAILHOIST_TOKEN=demo
work=$(mktemp -d)
pids=()
names=()

# On exit, kills the processes that are still running and, after a failure, prints the ends of their logs.
finish() {
	status=$?
	for pid in ${pids[@]+"${pids[@]}"}; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	if [ "$status" -ne 0 ]; then
		echo "demo failed; last lines of the logs:" >&2
		tail -n 5 "$work"/*.log >&2
	fi
	rm -rf "$work"
	exit "$status"
}
trap finish EXIT

say() { printf '\n== %s\n' "$*"; }

# start NAME COMMAND... starts a process in the background and waits for the log line with its addresses.
start() {
	local name=$1
	shift
	"$@" 2>"$work/$name.log" &
	pids+=($!)
	names+=("$name")
	for _ in $(seq 200); do
		grep -q '"msg":"listening"' "$work/$name.log" && return 0
		sleep 0.05
	done
	echo "$name did not start" >&2
	return 1
}

# addr NAME LISTENER prints the address of a listener of a process.
addr() { sed -n '/"msg":"listening"/s/.*"'"$2"'":"\([^"]*\)".*/\1/p' "$work/$1.log" | head -n 1; }

# until_shows PATTERN STATEMENT... repeats a query until its answer matches the pattern, at most 300 times.
until_shows() {
	local text=$1
	shift
	for _ in $(seq 300); do
		if query "$@" 2>/dev/null | grep -Eq "$text"; then
			query "$@"
			return 0
		fi
		sleep 0.1
	done
	echo "not shown: $text" >&2
	query "$@" >&2
	return 1
}

query() { bin/wagtailhoist query --admin "$admin" "$@"; }

# stop NAME sends a process SIGTERM and fails unless it exits with status 0.
stop() {
	local i
	for i in "${!names[@]}"; do
		[ "${names[$i]}" = "$1" ] || continue
		kill -TERM "${pids[$i]}"
		wait "${pids[$i]}"
		unset "pids[$i]" "names[$i]"
		echo "$1 stopped"
		return 0
	done
}

say "build"
go build -o bin/ ./...

say "start the platform, two entries, and an agent with a minion in each of two regions"
start platform bin/stand platform --centres lausanne=3,chur=2
platform=http://$(addr platform listen)
start entry-1 bin/wagtailhoist entry --id entry-1 --region ch-west --centre lausanne \
	--store "$platform" --works "$platform" --drain 500ms
start entry-2 bin/wagtailhoist entry --id entry-2 --region ch-east --centre chur \
	--store "$platform" --works "$platform" --drain 500ms --join "$(addr entry-1 link)"
join=$(addr entry-1 link),$(addr entry-2 link)
admin=http://$(addr entry-1 admin)
start minion-1 bin/stand minion --id minion-1
start minion-2 bin/stand minion --id minion-2
start agent-1 bin/wagtailhoist agent --id agent-1 --region ch-west --centre lausanne \
	--minion "http://$(addr minion-1 listen)" --join "$join"
start agent-2 bin/wagtailhoist agent --id agent-2 --region ch-east --centre chur \
	--minion "http://$(addr minion-2 listen)" --join "$join"

say "apply a declaration"
cat >"$work/teams.yaml" <<'YAML'
policy:
  compact: 0.3
teams:
  - name: stock
    weight: 1
  - name: plans
    weight: 3
    guarantees:
      - name: night
        shape: {tasks: 3, gpus: 8, adjacent: rack}
        centre: lausanne
        grace: 5s
YAML
bin/wagtailhoist apply --admin "$admin" --wait "$work/teams.yaml"
bin/wagtailhoist status --admin "$admin"

say "serve requests through both entries"
until_shows 'agent-2' show minions
bin/stand caller --target "http://$(addr entry-1 listen)" --target "http://$(addr entry-2 listen)" --rate 40 --count 120 \
	--method GET,POST --keyed 3 --body 2000 --size 20000 --team plans >"$work/calls.json" 2>"$work/caller.log"
cat "$work/calls.json"
grep -q '"answered": 120,' "$work/calls.json"

say "run a gang on accelerators that are guaranteed to another team"
query job borrower of stock 3x8 adjacent rack checkpoint grace 1s estimate 1h
until_shows 'borrower .*running' show jobs

say "claim the guarantee: the borrower is checkpointed and stopped"
query job timetable of plans 3x8 adjacent rack guarantee night estimate 1h
until_shows 'timetable .*running' show jobs

say "what runs where, what is held for whom, and why a job waits"
query show workers
query show anchors
query show waiting
until_shows 'borrower' why borrower

say "stop every process gracefully"
for name in agent-1 agent-2 entry-1 entry-2 minion-1 minion-2 platform; do
	stop "$name"
done
say "done"
