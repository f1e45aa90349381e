#!/usr/bin/env bash
# One of three servers garbles a digit of the status line in 2.5% of its answers. The check is the
# rule CONFIG: calls without a final answer half a second after their route's time-out.
cd "$(dirname "$0")/../.." || exit 2
case_folder=review/5
. review/common/common.sh

start_store
configuration 1 "$one_tenant" | write_configuration
spoil_every=40
[ "$trouble" = 0 ] && spoil_every=0
for i in 1 2 3; do
  start_server "desk-$i" "$tool" desk --id="desk-$i" --store="$store" \
    --record="$work/desk-$i.record" --spoil_every="$spoil_every" --spoil_as=10
  spoil_every=0
done
start_entry entry-1
wait_ready "$ready_address"
sleep 4

read -r calls answered unanswered malformed < <(build-review/case_5 "$caller_address" \
  "$work/callers.record") || give_up 'the callers failed'
sort -n "$work"/*.record | grep -E 'spoils|got|answer|closed' >>"$record"
runs=$(cat "$work"/desk-*.record | grep -c ' run ')
spoiled=$(cat "$work"/desk-*.record | grep -c ' spoils ')
note "calls $calls, run by the servers $runs, garbled status lines $spoiled"
note "answered $answered, no final answer after 4500 ms $unanswered, bytes that are no answer $malformed"
[ "$answered" -gt 1000 ] || give_up 'too few calls were answered'
# All calls that last longer than the time-out are those without an answer.
[ "$unanswered" -lt 8 ] && [ "$malformed" = 0 ] && finish_case 0 'held'
finish_case 1 'broken: CONFIG (no final answer), MIXED (bytes that are no answer)'
