#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
export ROOT=$(cd "$here/../.." && pwd)
[ -x "$ROOT/target/doorstepd" ] && [ -x "$ROOT/review/bin/lab" ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
scratch=$(mktemp -d)
status=0
"$ROOT/review/bin/lab" endless "$here/record.txt" "$scratch" || status=$?
rm -rf "$scratch"
exit $status
