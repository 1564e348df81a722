#!/usr/bin/env bash
# The path on the platform, by separate processes on loopback: the stand-in's store and
# replicas, three nodes, and a session that uses them. The node that was handed a batch
# job is killed while the job runs; another goes on with it. The others are stopped in
# the planned way. Asserts outcomes, never timings; ends only processes that it started.
set -eu
bin=${BIN:-bin}
base=${BASE:-17300}
run=$(mktemp -d)
declare -A pids=()

. "$(dirname "$0")/lib.sh"

start deployment "$bin/doorstep-standin" deployment --listen 127.0.0.1:$base
nodes=()
for i in 0 1 2; do
	cat >"$run/node-$i.yaml" <<SETTINGS
name: node-$i
zone: zone-a
listen: {requests: "127.0.0.1:$((base + 1 + i))", readiness: "127.0.0.1:$((base + 11 + i))", metrics: "127.0.0.1:$((base + 21 + i))"}
store: {address: "127.0.0.1:$base"}
orders: {pause_ms: 3000}
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
for i in 1 2; do
	kill -TERM "${pids[node-$i]}"
	wait "${pids[node-$i]}"
	unset "pids[node-$i]"
done
echo "the other nodes stopped as planned"
echo "demo on the platform: all as promised"
