#!/usr/bin/env bash
# Runs a fleet of separate processes on the loopback interface: the emulated platform and engines,
# control processes, dispatchers and gateways. Stops all of them when interrupted.
#
# Usage: scripts/fleet.sh [FOLDER]
# Environment: ENGINES (4), DISPATCHERS (2), GATEWAYS (3), CONTROLS (1).
set -eu

cd "$(dirname "$0")/.."
folder=${1:-data/fleet}
engines=${ENGINES:-4}
dispatchers=${DISPATCHERS:-2}
gateways=${GATEWAYS:-3}
controls=${CONTROLS:-1}

make --no-print-directory build
mkdir -p "$folder"
pids=()
stop() {
	# Stop in reverse order, gateways first, so that no running request is interrupted.
	for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
		kill -TERM "${pids[$index]}" 2>/dev/null || true
		wait "${pids[$index]}" 2>/dev/null || true
	done
}
trap stop EXIT
trap 'exit 0' INT TERM

run() { # run NAME PROGRAM ARGUMENTS...
	local name=$1
	shift
	"$@" --name "$name" >"$folder/$name.log" 2>&1 &
	pids+=($!)
}

zone() { printf 'zone-%s' "$(printf 'abc' | cut -c $((($1 - 1) % 3 + 1)))"; }

workers=()
for ((n = 1; n <= engines; n++)); do
	run "engine-$n" bin/sedgemast-lab engine --listen "127.0.0.1:$((7600 + n))" --seed "$n"
	workers+=(--worker "engine-$n=127.0.0.1:$((7600 + n))=$(zone "$n")")
done
run platform bin/sedgemast-lab platform --listen 127.0.0.1:7200 "${workers[@]}"

control=()
for ((n = 1; n <= controls; n++)); do
	control+=("127.0.0.1:$((7300 + n))")
done
for ((n = 1; n <= controls; n++)); do
	run "control-$n" bin/sedgemast control --listen "127.0.0.1:$((7300 + n))" \
		--data-folder "$folder/control-$n" --platform 127.0.0.1:7200 --peers "${control[@]}"
done
for ((n = 1; n <= dispatchers; n++)); do
	run "dispatcher-$n" bin/sedgemast dispatcher --listen "127.0.0.1:$((7500 + n))" --zone "$(zone "$n")" --control "${control[@]}"
done

if [ ! -s "$folder/operator.key" ]; then
	bin/sedgemastctl new-key operator fleet >"$folder/operator.key"
	chmod 600 "$folder/operator.key"
fi
key=$(sed -n 's/^key .*: //p' "$folder/operator.key")
digest=$(sed -n 's/^sha256 .*: //p' "$folder/operator.key")
for ((n = 1; n <= gateways; n++)); do
	run "gateway-$n" bin/sedgemast gateway --listen "127.0.0.1:$((7400 + n))" --zone "$(zone "$n")" \
		--operator-key-sha256 "$digest" --control "${control[@]}"
done

echo "gateways: 127.0.0.1:7401 and up; logs and data in $folder"
echo "export SEDGEMAST_GATEWAY=127.0.0.1:7401 SEDGEMAST_OPERATOR_KEY=$key"
echo "then: bin/sedgemastctl status; interrupt to stop"
wait
