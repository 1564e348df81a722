#!/usr/bin/env bash
# Shows that each invariant has a mechanism that matters: breaks the mechanism by a
# patch in a scratch copy, and expects the simulator to see it on seeds on which the
# product itself is clean. docs/PROOF.md has the table. Takes some minutes.
set -eu
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
failed=0

# prove PATCH INVARIANT SEEDS FAULTS [FLAG]
prove() {
	local patch=$1 invariant=$2 seeds=$3 faults=$4 flag=${5:-}
	rm -rf "$scratch/tree"
	mkdir "$scratch/tree"
	git archive HEAD | tar -x -C "$scratch/tree"
	patch -s -p1 -d "$scratch/tree" <"scripts/proof/$patch.patch"
	(cd "$scratch/tree" && go build -o "$scratch/broken" ./cmd/doorstep-sim)
	local brokenSeeds cleanSeeds
	brokenSeeds=$("$scratch/broken" sweep ${flag:+"$flag"} --seeds "$seeds" --faults "$faults" 2>/dev/null | grep -c ": $invariant at" || true)
	cleanSeeds=$("$scratch/clean" sweep ${flag:+"$flag"} --seeds "$seeds" --faults "$faults" 2>/dev/null | grep -c "^seed" || true)
	echo "$invariant | $seeds, $faults $flag | broken: $brokenSeeds seeds fail | product: $cleanSeeds violations"
	if [ "$brokenSeeds" -eq 0 ] || [ "$cleanSeeds" -ne 0 ]; then
		echo "  NOT PROVED" >&2
		failed=1
	fi
}

go build -o "$scratch/clean" ./cmd/doorstep-sim
prove 1-positions positions-fixed 1..250 store-loses,store-partly,store-slow
prove 2-versions versions-true 1..20 all
prove 3-texts texts-unmixed 1..200 node-kill,replica-breaks
prove 4-refusals refusals-true 1..20 store-loses,store-refusing,store-silent
prove 5-nothing-lost nothing-lost 1..10 store-silent,store-slow
prove 6-ends ends-respected 1..40 all
prove 7-drains drains-respected 1..10 replica-drains
prove 8-one-holder one-holder 1..60 all
prove 9-in-force in-force 1..20 all
prove 10-ages results-true 1..20 all
prove 11-attempts attempts-bounded 1..10 none
prove 12-whole-texts results-true 1..10 all
prove 13-scoring-failures results-true 1..10 all
prove 14-one-report one-report 1..180 all
prove 15-usage-clock usage-exact 1..20 clock-step
prove 16-tenants tenant-true 1..5 none
prove 17-crash-pauses crashes-bounded 1..20 item-poison
prove 18-evacuations evacuations-respected 1..20 zone-evacuated
prove 19-cold-bound cold-bounded 1..20 replica-cold,zone-cold-return,all-cold
prove 20-home-regions homes-kept 1..10 homes-change
prove 21-sound-owner sound-owner-kept 1..60 region-slow
prove 22-owners-follow-replicas drains-respected 1..20 replica-drains --resting
prove 23-first-orders versions-rise 500001..500200 replica-restart,orders-late
prove 24-ownerships texts-unmixed 1..100 owner-refused,store-loses
exit $failed
