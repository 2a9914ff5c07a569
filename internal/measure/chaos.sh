#!/usr/bin/env bash
# Runs eight entry host processes with stand-ins; half of the engines don't check
# fencing numbers. Under load, one host is killed and two are paused, at least one of
# them for longer than a lease; all come back. At the end the stand-ins print how often
# an adapter in use was evicted. Takes about a minute and a half; uses loopback only.
set -euo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
go build -o "$work/" ./cmd/... ./internal/standin/cmd/... ./internal/measure
declare -A pids
cleanup() {
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap cleanup EXIT

entries=()
for i in $(seq 8); do entries+=(--entry "e$i=local=127.0.0.1:$((8300 + i))"); done
"$work/standins" --listen 127.0.0.1:9010 --runners 8 --unfenced 4 --slots 3 "${entries[@]}" > "$work/standins.log" 2>&1 &
pids[standins]=$!
sleep 1
digest=$(echo operator | "$work/cherryctl" digest)
start() {
  "$work/cherrystaged" --host "e$1" --data-centre local --callers "127.0.0.1:$((8100 + $1))" \
    --operators "127.0.0.1:$((8200 + $1))" --peers "127.0.0.1:$((8300 + $1))" --peer-key 0123456789abcdef \
    --object-api http://127.0.0.1:9010 --host-list http://127.0.0.1:9010 --operator "op=$digest" \
    > "$work/e$1.log" 2>&1 &
  pids[e$1]=$!
  disown
}
for i in $(seq 8); do start "$i"; done
sleep 3
export CHERRYCTL_KEY=operator CHERRYCTL_ADDRESS=http://127.0.0.1:8201
{
  echo '{"adapters": ['
  for i in $(seq 0 39); do
    [ "$i" -gt 0 ] && echo ','
    echo "{\"name\": \"a$i\", \"base\": \"base\", \"versions\": [\"1\"], \"current\": \"1\", \"callers\": [\"*\"]}"
  done
  echo "], \"callers\": [{\"name\": \"c\", \"key_digest\": \"$(echo caller | "$work/cherryctl" digest)\", \"priority\": 1}], \"services\": [], \"rules\": []}"
} > "$work/inventory.json"
"$work/cherryctl" apply "$work/inventory.json" > /dev/null
"$work/cherryctl" wait 1

ask() { # client number: requests changing adapters for 60 seconds
  local end=$((SECONDS + 60)) n=0 ok=0 failed=0
  while [ "$SECONDS" -lt "$end" ]; do
    n=$((n + 1))
    port=$((8100 + (n + $1) % 8 + 1))
    model="a$(((n * 7 + $1 * 3) % 40))"
    if curl -sN -m 40 "http://127.0.0.1:$port/v1/completions" -H 'Authorization: Bearer caller' \
        -d "{\"model\": \"$model\", \"stream\": true, \"max_tokens\": 20}" 2>/dev/null | grep -q '\[DONE\]'; then
      ok=$((ok + 1))
    else
      failed=$((failed + 1))
    fi
  done
  echo "$ok $failed" > "$work/client$1"
}
clients=()
for c in $(seq 12); do ask "$c" & clients+=($!); done
sleep 8
kill -KILL "${pids[e2]}"
kill -STOP "${pids[e3]}"
echo "e2 killed, e3 paused"
sleep 16
kill -CONT "${pids[e3]}"
start 2
echo "e3 resumed, e2 restarted"
sleep 12
kill -STOP "${pids[e5]}"
sleep 9
kill -CONT "${pids[e5]}"
for c in "${clients[@]}"; do wait "$c"; done
"$work/cherryctl" status | head -24
cat "$work"/client* | awk '{ok += $1; failed += $2} END {print ok " complete answers, " failed " failed"}'
kill -TERM "${pids[standins]}"
sleep 1
cat "$work/standins.log"
