#!/usr/bin/env bash
# The table service is down. Guards against model requests that stop with the store, a debit that runs without a
# claim, a take-out that does not spread or is not obeyed, and charges that are lost or written twice in an outage.
set -euo pipefail
. "$(dirname "$0")/common.sh"
# Cold upstreams wait in an outage (design, section 5), so some must be warm before it.
WARM_UP='1 s'
start_cluster
warm_elsewhere() {
  status_of "$1" | jq -e '[.upstreams[] | select(.state == "warm" and .domain != "west-b" and (.upstream | startswith("pitch-llm")))] | length >= 1'
}
warm_up() {
  local index number asking=()
  for index in 1 2 3 4; do
    for number in 1 2 3 4 5 6; do
      ask "$index" "warm-$RANDOM$RANDOM" "$(chat "warm up $RANDOM" 20 false)" -o /dev/null &
      asking+=($!)
    done
  done
  wait "${asking[@]}"
  for index in 1 2 3 4; do warm_elsewhere "$index" || return 1; done
}
wait_for 12 warm_up || fail "not every daemon has a warm upstream outside west-b"

outage=$(now_ms)
faults $((BASE_PORT + 900)) '{"service":"table","down":true}'
# ask_all PREFIX COUNT: so many requests at each daemon, the daemons at once; all must be answered.
ask_chain() {
  local number id code
  for ((number = 1; number <= $3; ++number)); do
    id="outage-$2-$1-$number"
    code=$(ask "$1" "$id" "$(chat "question $id" 8 false)" -o "$CLUSTER/$id" -w '%{http_code} %{time_total}\n') || true
    echo "$id $code"
  done
}
ask_all() {
  local index chains=()
  for index in 1 2 3 4; do
    ask_chain "$index" "$1" "$2" >"$CLUSTER/chain-$1-$index" &
    chains+=($!)
  done
  wait "${chains[@]}"
  cat "$CLUSTER"/chain-"$1"-* >>"$CLUSTER/asked"
  awk '$2 != 200' "$CLUSTER/asked" >"$CLUSTER/refused"
  [ ! -s "$CLUSTER/refused" ] || fail "not answered: $(while read -r id code; do echo "$id $code $(cat "$CLUSTER/$id")"; done <"$CLUSTER/refused")"
}
ask_all before 5

code=$(debit 2 outage-debit -o "$CLUSTER/debit" -w '%{http_code}')
[ "$code" -ge 400 ] && [ "$(jq -r .error.ran "$CLUSTER/debit")" = no ] || fail "the debit was answered with $code: $(cat "$CLUSTER/debit")"
figure debit_error "$(jq .error.code "$CLUSTER/debit")" code

restricted=$(now_ms)
curl -sf "http://$(admin 1)/admin/v1/restrict" -o /dev/null \
  -d '{"id":"outage-take-out","kind":"take-out","target":"west-b","operator":"process-test","revision":1}' ||
  fail "the restriction was refused"
lists_it() { status_of "$1" | jq -e '.restrictions[] | select(.id == "outage-take-out")'; }
for index in 1 2 3 4; do
  wait_for 10 lists_it "$index" || fail "daemon $index does not list the restriction"
done
spread=$(($(now_ms) - restricted))
[ "$spread" -le 3000 ] || fail "the restriction took $spread ms to reach every daemon"
figure restriction_everywhere "$spread" ms
west_b() { engine_stat 9 7 started; }
before=$(west_b)
ask_all during 10
# The leases of 6 s have lapsed by now.
sleep 6
ask_all lapsed 5
after=$(west_b)
[ "$before" = "$after" ] || fail "west-b started $((after - before)) streams after it was taken out"

lasted=$(($(now_ms) - outage))
faults $((BASE_PORT + 900)) '{"service":"table","down":false}'
restored=$(now_ms)
cut -d ' ' -f 1 "$CLUSTER/asked" | sort >"$CLUSTER/ids"
missing() { charges 2 | sort | comm -23 "$CLUSTER/ids" -; }
all_charged() { [ -z "$(missing)" ]; }
wait_for 15 all_charged || fail "charges are missing: $(missing | tr '\n' ' ')"
written=$(($(now_ms) - restored))
sleep 1
twice=$(charges 2 | sort | uniq -d)
[ -z "$twice" ] || fail "charges were written twice: $twice"
[ "$(debit_runs outage-debit)" = 0 ] || fail "the refused debit ran"
figure outage "$lasted" ms
figure slowest_answer "$(sort -gk3 "$CLUSTER/asked" | tail -n 1 | cut -d ' ' -f 3)" s
figure charges_of_outage "$(wc -l <"$CLUSTER/ids")" charges
figure charges_written_after "$written" ms
