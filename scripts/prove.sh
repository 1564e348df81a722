#!/usr/bin/env bash
# Shows that each invariant has a mechanism that matters: breaks the mechanism by a
# patch in a scratch copy, and expects the simulator to see it on seeds on which the
# product itself is clean. docs/PROOF.md has the table. Takes some minutes.
set -eu
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
failed=0

# prove PATCH INVARIANT TOPOLOGY SEEDS FAULTS
prove() {
	local patch=$1 invariant=$2 topology=$3 seeds=$4 faults=$5
	rm -rf "$scratch/tree"
	mkdir "$scratch/tree"
	git archive HEAD | tar -x -C "$scratch/tree"
	patch -s -p1 -d "$scratch/tree" <"scripts/proof/$patch.patch"
	(cd "$scratch/tree" && go build -o "$scratch/broken" ./cmd/doorstep-sim)
	local broken clean
	broken=$("$scratch/broken" sweep --topology "$topology" --seeds "$seeds" --faults "$faults" --json || true)
	clean=$("$scratch/clean" sweep --topology "$topology" --seeds "$seeds" --faults "$faults" --json || true)
	local brokenSeeds cleanSeeds
	brokenSeeds=$(sed -n '/"violated": {/,/}/s/^ *"'"$invariant"'": \([0-9]*\),*$/\1/p' <<<"$broken")
	brokenSeeds=${brokenSeeds:-0}
	cleanSeeds=$(failing <<<"$clean")
	echo "$invariant | $topology $seeds, $faults | broken: $brokenSeeds seeds fail | product: $cleanSeeds seeds fail"
	if [ "$brokenSeeds" -eq 0 ] || [ "$cleanSeeds" -ne 0 ]; then
		echo "  NOT PROVED" >&2
		failed=1
	fi
}

# prove_cluster PATCH INVARIANT SEEDS FAULTS: the same for nodes on a record store.
prove_cluster() {
	local patch=$1 invariant=$2 seeds=$3 faults=$4
	rm -rf "$scratch/tree"
	mkdir "$scratch/tree"
	git archive HEAD | tar -x -C "$scratch/tree"
	patch -s -p1 -d "$scratch/tree" <"scripts/proof/$patch.patch"
	(cd "$scratch/tree" && go build -o "$scratch/broken" ./cmd/doorstep-sim)
	local brokenSeeds cleanSeeds
	brokenSeeds=$("$scratch/broken" cluster --seeds "$seeds" --faults "$faults" 2>/dev/null | grep -c ": $invariant at" || true)
	cleanSeeds=$("$scratch/clean" cluster --seeds "$seeds" --faults "$faults" 2>/dev/null | grep -c "^seed" || true)
	echo "$invariant | cluster $seeds, $faults | broken: $brokenSeeds seeds fail | product: $cleanSeeds violations"
	if [ "$brokenSeeds" -eq 0 ] || [ "$cleanSeeds" -ne 0 ]; then
		echo "  NOT PROVED" >&2
		failed=1
	fi
}

# failing counts the failing seeds of a sweep's JSON.
failing() { sed -n '/"failing": \[/,/\]/p' | grep -c '^ *[0-9]' || true; }

go build -o "$scratch/clean" ./cmd/doorstep-sim
prove 1-true-versions true-versions dakar 1..10 all
prove 2-staleness staleness dakar 1..60 table-slow,message-chaos,table-lost-answers
prove 3-exactly-once exactly-once dakar "${EXACTLY_ONCE_SEEDS:-1..700}" table-late-effect,planned-stop,trainer-death
prove 4-whole-answers whole-answers dakar 1..10 message-chaos
prove 5-not-run not-run-is-true dakar 1..40 engine-crash,zone-cut,table-slow
prove 6-at-most-once at-most-once dakar 1..10 all
prove 7-leaving-replica leaving-replica dakar 1..40 replica-leaves,machines-wrong
prove 8-planned-stop planned-stop dakar 1..10 planned-stop
prove 9-configuration configuration dakar 1..40 zone-cut,one-way-cut
prove_cluster cluster-1-positions positions-fixed 90..200 all
prove_cluster cluster-2-versions versions-true 1..20 all
prove_cluster cluster-3-texts results-true 1..200 all
prove_cluster cluster-4-refusals refusals-true 1..20 store-loses,store-refusing,store-silent
prove_cluster cluster-5-nothing-lost nothing-lost 1..10 store-silent,store-slow
prove_cluster cluster-6-ends ends-respected 1..40 all
prove_cluster cluster-7-drains drains-respected 1..10 replica-drains
prove_cluster cluster-8-one-holder one-holder 1..60 all
prove_cluster cluster-9-in-force in-force 1..20 all
prove_cluster cluster-10-ages results-true 1..20 all
prove_cluster cluster-11-attempts attempts-bounded 1..10 none
exit $failed
