#!/usr/bin/env bash
# Plays every day of bench/days on a site with the users' bench, one after the other.
# Usage: scripts/days.sh BENCH SITE WHY
set -u
bench=$1 site=$2 why=$3
cd "$(dirname "$0")/.."
for day in bench/days/*.toml; do
	output=$("$bench" run "$site" "$day" --why "$why: $(basename "$day" .toml)" 2>&1)
	grep -E '^[a-z-]+ +[0-9]+/[0-9]+' <<<"$output" || echo "$(basename "$day"): not played: $(tail -1 <<<"$output")"
	grep -E '^(broken|BROKEN|rule|RULE|  rule|fault)|breaks|[A-Z]{4,}: ' <<<"$output" | head -5
done
