#!/usr/bin/env bash
# A daemon is stopped gracefully while it streams. Guards against answers that are cut, new requests that are lost or
# answered falsely, an exit code other than 0, and charges that are not handed on.
set -euo pipefail
BALANCER_DELAY='1 s'
. "$(dirname "$0")/common.sh"
start_cluster --base-gap-ms 20

for number in 1 2 3 4; do
  body=$(chat "question $number" 150 false busker-chat@busker-chat-small)
  ask 3 "drain-whole-$number" "$body" | jq -r '.choices[0].message.content' >"$CLUSTER/whole-$number" &
  asking[number]=$!
done
wait "${asking[@]}"
for number in 1 2 3 4; do
  ask 1 "drain-stream-$number" "$(chat "question $number" 150 true busker-chat@busker-chat-small)" -N >"$CLUSTER/stream-$number" &
  asking[number]=$!
done
for number in 1 2 3 4; do
  wait_for 10 grep -q '^id: ' "$CLUSTER/stream-$number" || fail "stream $number did not start"
done

daemon=${PIDS[west-a-1]}
kill -TERM "$daemon"
stopping=$(now_ms)
not_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(callers 1)/readyz")" = 503 ]; }
wait_for 1 not_ready || fail "/readyz did not turn 503"
figure not_ready_after $(($(now_ms) - stopping)) ms
sleep 1.2
refusals=0
for number in 1 2 3; do
  code=$(ask 1 "drain-late-$number" "$(chat late 4 false)" -o "$CLUSTER/late" -w '%{http_code}') || [ $? = 7 ] || fail "a new request broke off"
  if [ "$code" != 000 ]; then
    [ "$(jq -c '[.error.code, .error.ran]' "$CLUSTER/late")" = '[407,"no"]' ] || fail "a new request got $code: $(cat "$CLUSTER/late")"
  fi
  refusals=$((refusals + 1))
done
code=$(debit 1 drain-debit -o "$CLUSTER/late" -w '%{http_code}') || [ $? = 7 ] || fail "a debit broke off"
if [ "$code" != 000 ]; then
  [ "$(jq -c '[.error.code, .error.ran]' "$CLUSTER/late")" = '[407,"no"]' ] || fail "a debit got $code: $(cat "$CLUSTER/late")"
fi
[ "$(debit_runs drain-debit)" = 0 ] || fail "a debit ran after the daemon had begun to refuse"
grep -q '\[DONE\]' "$CLUSTER"/stream-* && fail "a stream ended before the new requests were sent"
for process in "${asking[@]}"; do
  wait "$process" || fail "a stream was cut"
done
code=0
wait "$daemon" || code=$?
unset 'PIDS[west-a-1]'
exited=$(now_ms)
[ "$code" = 0 ] || fail "exit code $code"
for number in 1 2 3 4; do
  grep -q '\[DONE\]' "$CLUSTER/stream-$number" || fail "stream $number did not end: $(tail -c 300 "$CLUSTER/stream-$number")"
  [ "$(text_of "$CLUSTER/stream-$number")" = "$(cat "$CLUSTER/whole-$number")" ] || fail "stream $number has another text"
done
for number in 1 2 3 4; do
  wait_for 5 charged 3 "drain-stream-$number" || fail "the charge of stream $number is missing"
  [ "$(charge_count 3 "drain-stream-$number")" = 1 ] || fail "the charge of stream $number was written more than once"
  [ "$(charge_count 3 "drain-late-$number")" = 0 ] || fail "a refused request was charged"
done
figure streams_whole 4 streams
figure new_requests_refused "$refusals" requests
figure term_to_exit $((exited - stopping)) ms
figure exit_code "$code" code
