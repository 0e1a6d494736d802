# Shared by the bench scripts: a small site on loopback, stopped at exit.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
bin=build
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
finish() { stop_all; rm -rf "$work"; }
trap finish EXIT
start() { "$@" >>"$work/log" 2>&1 & pids+=($!); }
# wait_for SECONDS COMMAND...
wait_for() {
  local left=$(($1 * 10)); shift
  until "$@" >/dev/null 2>&1; do
    left=$((left - 1))
    if [ "$left" -le 0 ]; then echo "gave up waiting for: $*" >&2; return 1; fi
    sleep 0.1
  done
}
# metric CONTROL NAME: one value of a box's metrics.
metric() { curl -s "http://$1/metrics" | awk -v n="$2" '$1 == n {print $2}'; }
# field JSON a.b: one number of a summary.
field() { python3 -c 'import json,sys
v=json.loads(sys.argv[1])
for k in sys.argv[2].split("."): v=v[k]
print(v)' "$1" "$2"; }
key_hash() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
# write_box NAME DC CALLERS CONTROL PLATFORM SEED [LINES]: prints the file.
write_box() {
  local file="$work/$1.yaml"
  cat >"$file" <<Y
box: {name: $1, data_centre: $2}
listen: {callers: "$3", control: "$4", caller_threads: ${BOX_THREADS:-256}, control_threads: ${CONTROL_THREADS:-48}}
platform: {address: "$5"}
peers: {seeds: ["$6"]}
requests: {queue_time: 10s, deadline: 120s, stall: 20s}
log: {level: warning}
${7:-}
Y
  echo "$file"
}
