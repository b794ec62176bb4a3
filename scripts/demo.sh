#!/usr/bin/env bash
# Runs the stand-ins and three daemons as plain processes on loopback,
# demonstrates each guarantee once and stops everything. Requires curl.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT

step() { printf '\n== %s\n' "$*"; }
fail() { echo "demo: $*" >&2; tail -n 20 "$dir"/*.log >&2; exit 1; }
# await SECONDS COMMAND... retries COMMAND until it succeeds.
await() {
  local tries=$(($1 * 20)); shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || fail "timed out waiting for: $*"
    sleep 0.05
  done
}

tool=bin/currantpulley
log=http://127.0.0.1:18100
data_centres=(south-1 south-2 north-1)
sites=(south south north)

step "start the stand-ins: log, VM list, three engines, booking service"
bin/standins --port 18100 --engines 3 --service booking --model agreements=w1 \
  --piece-tokens 64 --fencing >"$dir/standins.log" 2>&1 &
pids+=($!)
await 10 grep -q '^ready' "$dir/standins.log"
vms='[{"name":"vm-1","peer_address":"127.0.0.1:18211","data_centre":"south-1"},
 {"name":"vm-2","peer_address":"127.0.0.1:18212","data_centre":"south-2"},
 {"name":"vm-3","peer_address":"127.0.0.1:18213","data_centre":"north-1"}]'
curl -fsS -X POST -d "$vms" http://127.0.0.1:18101/vms >/dev/null
grep -E '^(log|vms|engine|service)' "$dir/standins.log"

step "start three daemons"
for i in 1 2 3; do
  cat >"$dir/vm-$i.toml" <<TOML
vm = "vm-$i"
data_centre = "${data_centres[$((i - 1))]}"
site = "${sites[$((i - 1))]}"
listen = "127.0.0.1:1820$i"
peer_listen = "127.0.0.1:1821$i"
admin_listen = "127.0.0.1:1822$i"

[platform]
log = "$log"
vm_list = "http://127.0.0.1:18101"
TOML
  bin/currantpulleyd --settings "$dir/vm-$i.toml" >"$dir/vm-$i.log" 2>&1 &
  pids+=($!)
done
for i in 1 2 3; do await 10 curl -fsS "http://127.0.0.1:1822$i/healthz"; done
await 10 bash -c "$tool status --admin http://127.0.0.1:18221 --json | grep -o '\"alive\"' | wc -l | grep -qx 3"
echo "three daemons are alive"

step "publish a base and two overlays"
$tool publish --log $log --admin http://127.0.0.1:18221 examples/demo/base.toml examples/demo/south.toml examples/demo/north.toml
for i in 1 2 3; do await 10 curl -fsS "http://127.0.0.1:1822$i/readyz"; done

step "ask the same long shared prompt twice; the second answer reports cached tokens"
agreement=$(for n in $(seq 1 60); do printf 'Clause %d: the shop lends the instrument for one term. ' "$n"; done)
body=$(printf '{"model":"agreements","stream":true,"max_tokens":12,"prompt":"%s May we renew?"}' "$agreement")
ask() { curl -fsSN --max-time 20 -H 'Authorization: Bearer demo-shop' -d "$body" "http://127.0.0.1:18201/v1/completions"; }
for n in 1 2; do
  ask >"$dir/answer-$n"
  grep -q '^data: \[DONE\]' "$dir/answer-$n" || fail "answer $n is incomplete"
  echo "answer $n: $(grep -c '^id: ' "$dir/answer-$n") events, $(grep -o '"cached_tokens":[0-9]*' "$dir/answer-$n" | tail -n 1)"
done
grep -o '"cached_tokens":[0-9]*' "$dir/answer-2" | tail -n 1 | grep -qv ':0$' || fail "the second answer has no cached tokens"

step "book a loan twice with the same key, through two VMs; it runs once"
book() {
  curl -sS -i --max-time 20 -H 'Authorization: Bearer demo-shop' -H 'Idempotency-Key: loan-4711' \
    -d '{"instrument":"ukulele"}' "http://127.0.0.1:1820$1/loans"
}
for i in 1 2; do
  book $i >"$dir/loan-$i"
  echo "VM $i: $(head -n 1 "$dir/loan-$i" | tr -d '\r') $(tail -n 1 "$dir/loan-$i")"
done
runs=$(curl -fsS http://127.0.0.1:18105/runs)
echo "runs at the service: $runs"
grep -q '"loan-4711": *1[^0-9]' <<<"$runs" || fail "the loan did not run exactly once"

step "publish an invalid overlay; it is refused with the line number"
sed 's/"agreements"/"agrements"/' examples/demo/north.toml >"$dir/north.toml"
if $tool publish --log $log examples/demo/base.toml examples/demo/south.toml "$dir/north.toml"; then
  fail "the invalid overlay was accepted"
fi

step "drain VM 2 during a stream; the stream completes"
long=$(printf '{"model":"agreements","stream":true,"max_tokens":200,"prompt":"%s Read it all."}' "$agreement")
curl -fsSN --max-time 30 -H 'Authorization: Bearer demo-depot' -d "$long" http://127.0.0.1:18202/v1/completions >"$dir/drained" &
stream=$!
await 10 grep -q '^id: 2$' "$dir/drained"
$tool drain --admin http://127.0.0.1:18222
wait "$stream" || fail "the stream was interrupted"
grep -q '^data: \[DONE\]' "$dir/drained" || fail "the stream of the drained VM is incomplete"
echo "the stream completed with $(grep -c '^id: ' "$dir/drained") events"
wait "${pids[2]}" || fail "the drained daemon did not exit with 0"
echo "VM 2 exited with 0"

step "merged timeline"
# Exit code 3 means that a VM did not answer: VM 2 has stopped.
$tool timeline --admin http://127.0.0.1:18221 >"$dir/timeline" || [ $? = 3 ] || fail "the timeline is not available"
tail -n 40 "$dir/timeline"

step "stop everything"
for pid in "${pids[1]}" "${pids[3]}"; do
  kill -TERM "$pid"
  wait "$pid" || fail "a daemon did not exit with 0"
done
echo "done"
