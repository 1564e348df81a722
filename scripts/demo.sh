#!/usr/bin/env bash
# The main job on loopback, by separate processes: three nodes and the stand-ins of
# all outside systems. Trains five steps, serves two hundred callers, kills an
# engine and a node on the way, stops the rest in the planned way, and checks the
# outcome against what engines, trainer and callers recorded. Asserts outcomes,
# never timings. Ends only processes that it started.
set -eu
topology=${TOPOLOGY:-dakar}
bin=${BIN:-bin}
steps=5
callers=200
file=topologies/$topology.yaml
case $topology in
dakar) base=17100; zones=(plateau almadies diamniadio) ;;
plovdiv) base=17200; zones=(studio-hall archive-hall mast-room) ;;
*) echo "TOPOLOGY is '$topology'; allowed is dakar or plovdiv" >&2; exit 2 ;;
esac
run=$(mktemp -d)
declare -A pids=()
standin() { "$bin/doorstep-standin" "$@"; }

. "$(dirname "$0")/lib.sh"

start table "$bin/doorstep-standin" table --listen 127.0.0.1:$((base + 31))
start objects "$bin/doorstep-standin" objects --listen 127.0.0.1:$((base + 32))
start machines "$bin/doorstep-standin" machines --listen 127.0.0.1:$((base + 33)) --topology "$file"
start scorer "$bin/doorstep-standin" scorer --listen 127.0.0.1:$((base + 34))
start weights "$bin/doorstep-standin" weights --listen 127.0.0.1:$((base + 35))
weights=http://127.0.0.1:$((base + 35))
journals=()
while read -r replica _; do
	start "$replica" "$bin/doorstep-standin" engine --topology "$file" --replica "$replica" --weights "$weights" --journal "$run/$replica.jsonl"
	journals+=(--engine-journal "$run/$replica.jsonl")
done < <(standin topology --topology "$file" --show replicas)

nodes=()
servers=()
for i in "${!zones[@]}"; do
	start "${zones[$i]}" "$bin/doorstepd" --settings "deploy/$topology/${zones[$i]}.yaml"
	nodes+=(--node "http://127.0.0.1:$((base + 11 + i))")
	servers+=(--server "http://127.0.0.1:$((base + 11 + i))")
done
doorstep() { "$bin/doorstep" "${servers[@]}" --access-token demo-operator-token "$@"; }

# until_done COMMAND... repeats a command until it succeeds.
until_done() {
	local tries=0
	until "$@" >>"$run/operator.log" 2>&1; do
		tries=$((tries + 1))
		[ $tries -lt 200 ] || { echo "gave up on: $*" >&2; return 1; }
		sleep 0.2
	done
}

prompts=$(standin topology --topology "$file" --show prompts)
until_done doorstep prompts put "$prompts" "prompts/$prompts.txt"
# The token makes the repeats of this command have one effect.
until_done doorstep exec --token demo-create "$(standin topology --topology "$file" --show create)"
echo "$topology: experiment created"

trainers=()
trainer_journals=()
while read -r trainer; do
	start "trainer-$trainer" "$bin/doorstep-standin" trainer --topology "$file" --name "$trainer" "${nodes[@]}" \
		--weights "$weights" --access-token demo-trainer-token --steps $steps --journal "$run/trainer-$trainer.json"
	trainers+=("trainer-$trainer")
	trainer_journals+=(--trainer-journal "$run/trainer-$trainer.json")
done < <(standin topology --topology "$file" --show trainers)
start callers "$bin/doorstep-standin" callers --topology "$file" "${nodes[@]}" --access-token demo-caller-token \
	--count $callers --over 20s --journal "$run/callers.jsonl"

# A session of every statement, while training and callers go on.
last=$(standin topology --topology "$file" --show replicas | sed -n '5s/ .*//p')
sed -e "s/NAME/$(standin topology --topology "$file" --show experiment)/g; s/POLICY/$(standin topology --topology "$file" --show policy)/g" \
	-e "s/REPLICA/$last/g; s/NODE/${zones[0]}-1/g; s/ZONE/${zones[0]}/g; s/PROMPTS/$prompts/g" \
	-e "s/SERVICE/$(standin topology --topology "$file" --show services | head -n 1)/g" deploy/session.doorstep >"$run/session"
doorstep exec --file "$run/session" >"$run/session.out" || { cat "$run/session.out"; exit 1; }
doorstep exec 'status of demo-create'
echo "$topology: a session of every statement went through"

sleep 3
victim=$(standin topology --topology "$file" --show replicas | sed -n '3s/ .*//p')
kill -KILL "${pids[$victim]}"
ended "$victim" || true
echo "$topology: engine $victim killed"
sleep 4
kill -KILL "${pids[${zones[1]}]}"
ended "${zones[1]}" || true
echo "$topology: node of zone ${zones[1]} killed"
doorstep exec 'show nodes; show replicas order by replica; show samples; count rollouts by replica' || true

for trainer in "${trainers[@]}"; do ended "$trainer"; done
echo "$topology: trainer done"
ended callers
for zone in "${zones[0]}" "${zones[2]}"; do
	kill -TERM "${pids[$zone]}"
	ended "$zone"
	echo "$topology: node of zone $zone stopped in the planned way"
done
standin verify --topology "$file" "${journals[@]}" "${trainer_journals[@]}" --caller-journal "$run/callers.jsonl" \
	--killed-node "http://127.0.0.1:$((base + 12))" --callers $callers --steps $steps
echo "$topology: demo passed"
