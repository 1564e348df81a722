# What the demos share: processes of their own, ended by id whatever happens. Sourced
# after `run`, a scratch folder, and `pids`, an associative array, are set.

finish() {
	status=$?
	for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
	wait 2>/dev/null || true
	if [ "$status" -ne 0 ]; then
		echo "the demo failed; logs:" >&2
		tail -n 15 "$run"/*.log >&2 || true
	fi
	rm -rf "$run"
	exit "$status"
}
trap finish EXIT
trap "exit 143" TERM INT

# start NAME COMMAND... starts a process of its own and notes its id.
start() {
	local name=$1
	shift
	"$@" >"$run/$name.log" 2>&1 &
	pids[$name]=$!
}

# ended NAME waits for a process and returns its exit code.
ended() {
	local pid=${pids[$1]} code=0
	unset "pids[$1]"
	wait "$pid" || code=$?
	return $code
}
