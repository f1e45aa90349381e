#!/usr/bin/env bash
# Starts a deployment of three failure domains on loopback, shows a streamed answer, a call that runs
# once and the loss of a VM, and ends every process that it started. Exit code 1 when a check fails.
# Usage: tests/demo.sh BUILD_FOLDER [--keep]
#   --keep  leave the deployment running after the checks, until Ctrl-C or the end of standard input
set -euo pipefail
cd "$(dirname "$0")/.."

build=$1
keep=${2:-}
program=$build/waxwingwing
stand_ins=$build/stand_ins/waxwingwing_stand_ins
domains=(abeokuta ifo sagamu)
work=$(mktemp -d)
declare -A pid_of address_of
started=()

# Asks the processes to end, waits, and kills those that are still there.
finish() {
  local status=$?
  trap - EXIT INT TERM
  kill "${started[@]}" 2>/dev/null || true
  for _ in $(seq 50); do
    kill -0 "${started[@]}" 2>/dev/null || break
    sleep 0.1
  done
  kill -KILL "${started[@]}" 2>/dev/null || true
  wait "${started[@]}" 2>/dev/null || true
  [ "$keep" != --keep ] || rm -f "$build/demo.env"
  rm -rf "$work"
  exit "$status"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

step() { printf '\n== %s\n' "$*"; }

fail() {
  echo "FAILED: $*" >&2
  tail -n 5 "$work"/entry-*.err 2>/dev/null >&2 || true
  exit 1
}

# wait_for SECONDS COMMAND...: runs the command until it succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# start NAME COMMAND...: starts a process and keeps its id.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" </dev/null &
  pid_of[$name]=$!
  started+=("$!")
}

listens() { grep -q '"listening"' "$work/$1.out"; }

# field NAME FIELD: a text field of the line that the process printed when it began to listen.
field() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$work/$1.out"; }

start_stand_in() {
  start "$1" "$stand_ins" "$2" --listen=127.0.0.1:0 "${@:3}"
}

await_address() {
  wait_for 10 listens "$1" || fail "$1 does not listen: $(cat "$work/$1.err")"
  address_of[$1]=$(field "$1" "${2:-address}")
}

# register NAME ROLE SERVICE DOMAIN FABRIC_DOMAIN ADDRESS
register() {
  local accelerators=0
  [ "$2" != engine ] || accelerators=2
  curl -sS -f -o /dev/null "http://${address_of[vm_list]}/v1/test/vms" -d "{\"id\":\"$1\",\"role\":\"$2\",
    \"service\":\"$3\",\"failure_domain\":\"$4\",\"fabric_domain\":\"$5\",\"address\":\"$6\",
    \"accelerators\":$accelerators,\"state\":\"live\"}" || fail "$1 cannot be registered"
}

start_all() {
  local domain number
  start_stand_in log log
  start_stand_in vm_list vm_list
  start_stand_in weight_store weight_store --bytes_per_second=50000000
  for name in log vm_list weight_store; do await_address "$name"; done
  for domain in "${domains[@]}"; do
    for number in 0 1 2 3; do
      start_stand_in "$domain-engine-$number" engine --vm_id="$domain-engine-$number" \
        --weight_store_address="${address_of[weight_store]}" --warm_up_ms=1000 --ms_per_token=5
    done
    start_stand_in "$domain-desk-0" plain_service --vm_id="$domain-desk-0"
    for number in 0 1 2; do
      start "$domain-entry-$number" "$program" serve --vm_id="$domain-entry-$number" \
        --failure_domain="$domain" --cluster=demo --log_address="${address_of[log]}" \
        --vm_list_address="${address_of[vm_list]}" --worker_threads=1 --drain_grace_ms=200
    done
  done
}

register_all() {
  local domain number name
  for domain in "${domains[@]}"; do
    for number in 0 1 2 3; do
      name=$domain-engine-$number
      await_address "$name"
      register "$name" engine "" "$domain" "$domain-fabric-$((number % 2))" "${address_of[$name]}"
    done
    name=$domain-desk-0
    await_address "$name"
    register "$name" service desk "$domain" "$domain-fabric-0" "${address_of[$name]}"
    for number in 0 1 2; do
      name=$domain-entry-$number
      await_address "$name" caller_address
      register "$name" entry "" "$domain" "$domain-fabric-0" "$(field "$name" peer_address)"
    done
  done
}

operator() { "$program" "$@" --entry_address="$entry"; }

# Prints the lines of the section "replicas" of `waxwingwing status`.
replicas() { operator status 2>/dev/null | sed -n '/^replicas:/,/^[a-z]/p' | grep '^  id=' || true; }

serving_replicas() { replicas | grep -c ' serving=true' || true; }
has_serving() { [ "$(serving_replicas)" -eq "$1" ]; }
is_unroutable() { replicas | grep "id=$1 " | grep -q ' serving=false'; }

live_nodes() { operator status 2>/dev/null | grep '^  vm=.* live=true$' | wc -l; }
has_nodes() { [ "$(live_nodes)" -eq "$1" ]; }

# chat TEXT FILE: a streamed chat completion through the entry VM; the raw event stream goes to FILE.
chat() {
  curl -sS -N -m 20 "http://$entry/v1/chat/completions" -H 'X-Organisation: acme' \
    -H 'Content-Type: application/json' -o "$2" -d "{\"model\":\"orders\",\"stream\":true,
    \"max_tokens\":12,\"messages\":[{\"role\":\"user\",\"content\":\"$1\"}]}" || fail "no answer to \"$1\""
  grep -q '^data: \[DONE\]' "$2" || fail "the answer is not complete: $(cat "$2")"
}

# The answer's text: the contents of all events, joined.
answer_text() { grep '^data: {' "$1" | sed 's/.*"content":"\([^"]*\)".*/\1/' | tr -d '\n'; }

# find_server REQUEST_ID: sets `server`, `server_replica` and `sent` from the engine that recorded the
# request as complete.
find_server() {
  local name record
  for name in "${!address_of[@]}"; do
    [[ $name == *-engine-* ]] && [ -n "${pid_of[$name]}" ] || continue
    # The part of the record after `"assignment":{` holds all fields that are needed.
    record=$(curl -sS -m 5 "http://${address_of[$name]}/v1/test/records" | tr '{' '\n' |
      grep -F '"ended":"complete"' | grep -F "\"request_id\":\"$1\"") || continue
    server=$name
    server_replica=$(sed 's/.*"replica":"\([^"]*\)".*/\1/' <<<"$record")
    sent=$(sed 's/.*"sent":"\([^"]*\)".*/\1/' <<<"$record")
    return 0
  done
  return 1
}

# checked_chat TEXT: prints the answer and compares it with what the engine recorded as sent.
checked_chat() {
  local text id
  chat "$1" "$work/answer"
  text=$(answer_text "$work/answer")
  id=$(sed -n 's/^data: {.*"id":"\([^"]*\)".*/\1/p' "$work/answer" | head -n 1)
  echo "question: $1"
  echo "answer:   $text"
  wait_for 3 find_server "$id" || fail "no engine recorded request $id"
  [ -n "$text" ] && [ "$text" = "$sent" ] || fail "the engine sent: $sent"
  echo "check:    equal, byte for byte, to the ${#sent} bytes that $server sent (replica $server_replica)"
}

desk_call() {
  curl -sS -f -m 20 "http://$entry/v1/services/desk/confirmations" -H 'X-Organisation: acme' \
    -H 'Idempotency-Key: demo-1' -H 'Content-Type: application/json' -d '{"order":17}' ||
    fail "the desk call failed"
}

desk_runs() {
  local domain
  for domain in "${domains[@]}"; do
    curl -sS -m 5 "http://${address_of[$domain-desk-0]}/v1/test/records" |
      grep -o '"idempotency_key":"demo-1"' || true
  done | wc -l
}

show_desk() {
  local first second
  first=$(desk_call)
  second=$(desk_call)
  echo "first answer:  $first"
  echo "second answer: $second"
  [ "$first" = "$second" ] || fail "the answers differ"
  [ "$(desk_runs)" -eq 1 ] || fail "the call ran $(desk_runs) times"
  echo "check:         the desk VMs recorded 1 run for 2 requests"
}

kill_server() {
  local victim=$server replica=$server_replica
  kill -KILL "${pid_of[$victim]}"
  wait "${pid_of[$victim]}" 2>/dev/null || true
  pid_of[$victim]=
  echo "killed $victim, a member of replica $replica"
  wait_for 5 is_unroutable "$replica" || fail "replica $replica is still routable"
  replicas | grep "id=$replica "
  checked_chat "What is in order 18?"
  [ "$server_replica" != "$replica" ] || fail "replica $replica answered"
}

write_environment() {
  {
    echo "export PATH=$(cd "$build" && pwd):\$PATH"
    echo "export WAXWINGWING_ENTRY_ADDRESS=$entries"
    echo "ENTRY=$entry LOG=${address_of[log]} VM_LIST=${address_of[vm_list]}"
    for name in "${!pid_of[@]}"; do
      [ -z "${pid_of[$name]}" ] || echo "PID_${name//-/_}=${pid_of[$name]} ADDRESS_${name//-/_}=${address_of[$name]}"
    done
  } >"$build/demo.env"
}

step "Starting 3 stand-ins of the platform and, in each of ${domains[*]}, 4 engines, 1 desk, 3 entry VMs"
start_all
register_all
entry=${address_of[abeokuta-entry-0]}
entries=$entry,${address_of[ifo-entry-0]},${address_of[sagamu-entry-0]}
wait_for 15 has_nodes 9 || fail "$(live_nodes) of 9 entry VMs know each other: $(operator status)"
echo "${#started[@]} processes listen; the 9 entry VMs know each other"

step "Applying examples/release_note.json"
applied() { operator apply examples/release_note.json --wait_in_force --timeout_ms=5000 >"$work/apply" 2>&1; }
wait_for 15 applied || fail "the release note was not applied: $(cat "$work/apply")"
cat "$work/apply"

step "Waiting until all 6 replicas serve"
wait_for 30 has_serving 6 || fail "$(serving_replicas) of 6 replicas serve: $(operator status)"
replicas

step "A streamed chat completion"
checked_chat "What is in order 17?"

step "A call that must not run twice, sent twice with the same Idempotency-Key"
show_desk

step "Losing a VM"
kill_server

step "waxwingwing status --entry_address=$entry"
operator status

step "All checks passed after $SECONDS s"
if [ "$keep" = --keep ]; then
  write_environment
  echo "The deployment runs until Ctrl-C. In another terminal, in this folder:"
  echo "  . $build/demo.env"
  echo "  waxwingwing status"
  read -r _ || true
else
  echo "To try more, keep the deployment running with: tests/demo.sh $build --keep"
  echo "The operators' pages start at docs/operators/running.md."
fi
