#!/usr/bin/env bash
# Measures a large fleet: six real control processes, three real dispatchers and three real
# gateways run with hollow daemons in one process and hollow workers in another.
#
# Environment: DAEMONS (60,180,330), WORKERS (600), TENANTS (510), ITEM_RATE (5440).
set -eu

cd "$(dirname "$0")/.."
folder=$(mktemp -d)
make --no-print-directory build
pids=()
stop() {
	for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
		kill -TERM "${pids[$index]}" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$folder"
}
trap stop EXIT

run() { # run NAME PROGRAM ARGUMENTS...
	local name=$1
	shift
	"$@" --name "$name" >"$folder/$name.log" 2>&1 &
	pids+=($!)
}

run platform bin/sedgemast-lab hollow-workers --listen 127.0.0.1:8200 --count "${WORKERS:-600}"
control=()
processes=()
for n in 1 2 3 4 5 6; do
	control+=("127.0.0.1:$((8300 + n))")
done
for n in 1 2 3 4 5 6; do
	run "control-$n" bin/sedgemast control --listen "127.0.0.1:$((8300 + n))" --log-level warn \
		--data-folder "$folder/control-$n" --platform 127.0.0.1:8200 --peers "${control[@]}"
	processes+=(--process "control=control-$n=127.0.0.1:$((8300 + n))")
done
bin/sedgemastctl new-key operator scale >"$folder/key"
key=$(sed -n 's/^key .*: //p' "$folder/key")
digest=$(sed -n 's/^sha256 .*: //p' "$folder/key")
for n in 1 2 3; do
	run "dispatcher-$n" bin/sedgemast dispatcher --listen "127.0.0.1:$((8500 + n))" --log-level warn --control "${control[@]}"
	run "gateway-$n" bin/sedgemast gateway --listen "127.0.0.1:$((8400 + n))" --log-level warn \
		--operator-key-sha256 "$digest" --control "${control[@]}"
	processes+=(--process "dispatcher=dispatcher-$n=127.0.0.1:$((8500 + n))" --process "gateway=gateway-$n=127.0.0.1:$((8400 + n))")
done
for _ in $(seq 100); do
	curl -sf http://127.0.0.1:8401/readyz >/dev/null && break
	sleep 0.1
done
SEDGEMAST_OPERATOR_KEY=$key bin/sedgemast-lab scale --control "${control[@]}" --gateway 127.0.0.1:8401 \
	--daemons "${DAEMONS:-60,180,330}" --tenants "${TENANTS:-510}" --item-rate "${ITEM_RATE:-5440}" "${processes[@]}" "$@"
