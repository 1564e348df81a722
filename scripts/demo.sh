#!/usr/bin/env bash
# The main path by separate processes on loopback: the stand-in's store and replicas, three
# nodes, a session that uses them, and an operator with an experiment. The node that was
# handed a batch job is killed while the job runs; another goes on with it. The others are
# stopped in the planned way. Asserts outcomes, never timings; ends only processes that it
# started.
set -eu
bin=${BIN:-bin}
base=${BASE:-17300}
run=$(mktemp -d)
declare -A pids=()

. "$(dirname "$0")/lib.sh"

start deployment "$bin/doorstep-standin" deployment --listen 127.0.0.1:$base --replicas 2
nodes=()
for i in 0 1 2; do
	cat >"$run/node-$i.yaml" <<SETTINGS
name: node-$i
zone: zone-a
listen: {requests: "127.0.0.1:$((base + 1 + i))", readiness: "127.0.0.1:$((base + 11 + i))", metrics: "127.0.0.1:$((base + 21 + i))"}
store: {address: "127.0.0.1:$base"}
orders: {pause_ms: 3000}
duties: {address: "127.0.0.1:$base", kinds: "usage_reporting,autoscaling", fenced: true, calls_per_s: 50, usage_window_s: 2, usage_late_s: 8}
log: {level: info, json: true}
SETTINGS
	"$bin/doorstepd" check-settings --settings "$run/node-$i.yaml"
	start "node-$i" "$bin/doorstepd" --settings "$run/node-$i.yaml"
	nodes+=(--node "127.0.0.1:$((base + 1 + i))")
done
start session "$bin/doorstep-standin" session --store 127.0.0.1:$base "${nodes[@]}"
until grep -q "handed in" "$run/session.log" || ! kill -0 "${pids[session]}" 2>/dev/null; do sleep 0.01; done
kill -KILL "${pids[node-0]}"
unset "pids[node-0]"
wait "${pids[session]}"
unset "pids[session]"
cat "$run/session.log"
taken=$(cat "$run"/node-[12].log | grep -c '"event":902' || true)
echo "node-0 was killed while its job ran; jobs taken over by others: $taken"

# request PORT METHOD PATH [BODY [ID]] writes an answer's body and fails unless it is a success.
request() { "$bin/doorstep-standin" request --address "127.0.0.1:$1" --method "$2" --path "$3" --body "${4:-}" --id "${5:-}"; }
until grep -q "usage of window.*houses" "$run/deployment.log"; do sleep 0.1; done
grep -m1 "usage of window.*houses" "$run/deployment.log"

# Jobs of 60 items want more than the two replicas of the model, so others are ordered.
items() { for i in $(seq 60); do printf '%s{"id":"%s-%d","path":"/batch/y","body":"","headers":{"X-Model-Name":"narrator"}}' "${comma:-}" "$1" "$i"; comma=,; done; }
for job in $(seq 100); do
	! grep -q "replicas ordered" "$run/deployment.log" || break
	request $((base + 2)) POST /batch/x "{\"model\":\"narrator\",\"min_version\":1,\"requests\":[$(items "work-$job")]}" "work-$job"
	sleep 0.3
done
grep -m1 "replicas ordered" "$run/deployment.log"

# An operator creates an experiment; its trainer pulls a step at both nodes, acknowledges
# it, and publishes a version.
doorstep() { "$bin/doorstep" --store 127.0.0.1:$base --operator demo "$@"; }
doorstep exec 'show usage; show leases'
doorstep prompts put stories "$(dirname "$0")/../prompts/narratives.txt"
doorstep exec 'create experiment screen with policy narrator service generator prompts stories trainers houses samples 16 staleness 2 max_tokens 64 scoring scorer'
step=/v1/experiments/screen/trainers/houses/steps/1
until request $((base + 2)) GET "$step?wait=5s" >"$run/first.json" 2>/dev/null; do sleep 0.1; done
request $((base + 3)) GET "$step?wait=5s" >"$run/second.json"
cmp "$run/first.json" "$run/second.json"
echo "step 1: $(grep -o '"slot"' "$run/first.json" | wc -l) samples, $(grep -o '"score"' "$run/first.json" | wc -l) of them scored, the same at two nodes"
request $((base + 2)) POST "$step/acknowledgement"
request $((base + 3)) POST /v1/experiments/screen/trainers/houses/versions '{"version":4}'
sed 's/NAME/screen/g; s/POLICY/narrator/g; s/SERVICE/generator/g; s/PROMPTS/stories/g; s/REPLICA/model-1/g; s/NODE/node-1/g; s/ZONE/zone-a/g' \
	deploy/session.doorstep >"$run/session.doorstep"
doorstep exec --file "$run/session.doorstep"
for i in 1 2; do
	kill -TERM "${pids[node-$i]}"
	wait "${pids[node-$i]}"
	unset "pids[node-$i]"
done
echo "the other nodes stopped as planned"
echo "demo: all as promised"
