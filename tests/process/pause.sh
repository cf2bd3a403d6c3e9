#!/usr/bin/env bash
# A daemon is stopped for longer than its leases and wakes up. Guards against two daemons that hold one lease at a time,
# a fencing number that does not rise, and a debit that the woken daemon runs twice or answers falsely.
set -euo pipefail
. "$(dirname "$0")/common.sh"
start_cluster

# leases INDEX: shard and fencing number of each lease that a daemon says it holds.
leases() { status_of "$1" | jq -r '.leases[] | "\(.shard) \(.fencing)"'; }
all_held() { [ "$(for index in 1 2 3 4; do leases "$index"; done | wc -l)" = 12 ]; }
wait_for 10 all_held || fail "not all 12 leases are held"
# The instance of west-a that holds more leases is paused.
paused=1
other=2
[ "$(leases 1 | wc -l)" -ge "$(leases 2 | wc -l)" ] || { paused=2; other=1; }
leases "$paused" >"$CLUSTER/before"
[ -s "$CLUSTER/before" ] || fail "no lease to lose"

kill -STOP "${PIDS[west-a-$paused]}"
stopped=$(now_ms)
sleep 8
debit "$paused" pause-during -o "$CLUSTER/during" -w '%{http_code}' >"$CLUSTER/during-code" &
debiting=$!
sleep 1
kill -CONT "${PIDS[west-a-$paused]}"
figure paused "$(($(now_ms) - stopped))" ms
woken=$(now_ms)
samples=0
while [ $(($(now_ms) - woken)) -lt 5000 ]; do
  sampling=()
  for index in 1 2 3 4; do
    leases "$index" >"$CLUSTER/held-$index" &
    sampling+=($!)
  done
  for process in "${sampling[@]}"; do
    wait "$process" || true
  done
  twice=$(cat "$CLUSTER"/held-[1-4] | cut -d ' ' -f 1 | sort | uniq -d)
  [ -z "$twice" ] || fail "held by two daemons: $twice: $(grep . "$CLUSTER"/held-[1-4])"
  samples=$((samples + 1))
done
moved=0
while read -r shard fencing; do
  now=$(cat "$CLUSTER"/held-[1-4] | awk -v shard="$shard" '$1 == shard { print $2 }')
  [ -n "$now" ] || fail "nobody holds $shard"
  [ "$now" -gt "$fencing" ] || fail "$shard has fencing number $now, before $fencing"
  if grep -q "^$shard " "$CLUSTER/held-$other"; then moved=$((moved + 1)); fi
done <"$CLUSTER/before"
[ "$moved" = "$(wc -l <"$CLUSTER/before")" ] || fail "only $moved leases moved to the other instance"

wait "$debiting" || true
runs=$(debit_runs pause-during)
if [ "$(cat "$CLUSTER/during-code")" = 200 ]; then
  [ "$runs" = 1 ] || fail "the debit sent to the paused daemon was answered but ran $runs times"
else
  case $(jq -r .error.ran "$CLUSTER/during") in
    no) [ "$runs" = 0 ] || fail "the debit sent to the paused daemon ran, but the answer says that it did not" ;;
    *) [ "$runs" -le 1 ] || fail "the debit sent to the paused daemon ran $runs times" ;;
  esac
fi
code=$(debit "$paused" pause-after -o "$CLUSTER/after" -w '%{http_code}')
[ "$code" = 200 ] || fail "the woken daemon answered a debit with $code: $(cat "$CLUSTER/after")"
debit "$other" pause-after >/dev/null
runs=$(debit_runs pause-after)
[ "$runs" = 1 ] || fail "the debit sent to the woken daemon ran $runs times"
figure leases_moved "$moved" leases
figure samples "$samples" samples
figure debit_runs "$runs" runs
