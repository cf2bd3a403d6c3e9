#!/usr/bin/env bash
# The table service loses answers of transactions that took effect. Guards against a debit that runs twice or is
# answered falsely, a publication whose outcome is guessed, and a charge that is lost or written twice.
set -euo pipefail
. "$(dirname "$0")/common.sh"
start_cluster
lose() { faults $((BASE_PORT + 900)) "{\"service\":\"table\",\"loseNext\":$1}"; }
lost() { curl -sf "http://$PLATFORM/standin/stats" | jq .lost; }

# Leases are renewed with transactions too, so some answers are lost to those; ten rounds make it very likely that each kind
# of transaction is hit.
unknown=0
answered=0
refused=0
for ((round = 1; round <= 10; ++round)); do
  lose 2
  debit $((round % 4 + 1)) "lost-debit-$round" -o "$CLUSTER/debit-$round" -w '%{http_code}' >"$CLUSTER/code-$round" &
  debiting=$!
  ask $(((round + 1) % 4 + 1)) "lost-charge-$round" "$(chat "question $round" 4 false)" -o "$CLUSTER/chat-$round" \
    -w '%{http_code}' >"$CLUSTER/chat-code-$round" &
  asking=$!
  wait "$debiting" "$asking"
  [ "$(cat "$CLUSTER/chat-code-$round")" = 200 ] || fail "a model request was answered with $(cat "$CLUSTER/chat-$round")"
  runs=$(debit_runs "lost-debit-$round")
  [ "$runs" -le 1 ] || fail "debit $round ran $runs times"
  if [ "$(cat "$CLUSTER/code-$round")" = 200 ]; then
    answered=$((answered + 1))
    [ "$runs" = 1 ] || fail "debit $round was answered but ran $runs times"
  else
    case $(jq -r .error.ran "$CLUSTER/debit-$round") in
      no) refused=$((refused + 1)); [ "$runs" = 0 ] || fail "debit $round ran, but the caller was told that it did not" ;;
      yes) [ "$runs" = 1 ] || fail "debit $round did not run, but the caller was told that it did" ;;
      *) unknown=$((unknown + 1)) ;;
    esac
  fi
  # A retry at another daemon with the same key must not run it again.
  debit $(((round + 2) % 4 + 1)) "lost-debit-$round" >"$CLUSTER/retry-$round"
  [ "$(debit_runs "lost-debit-$round")" -le 1 ] || fail "the retry of debit $round ran it again"
done
[ "$(lost)" -ge 10 ] || fail "only $(lost) answers were lost"

sed -i 's/^weight: 8$/weight: 7/' "$CLUSTER/set/teams.yaml"
request() {
  local file
  for file in "$CLUSTER"/set/*.yaml; do
    jq -n --arg file "$(basename "$file")" --rawfile text "$file" '{file: $file, text: $text}'
  done | jq -sc '{base: 1, publishId: "lost-publication", operator: "process-test", documents: .}'
}
request >"$CLUSTER/request"
post() { curl -sS -m 20 "http://$(admin "$1")/admin/v1/publish" -H 'Content-Type: application/json' -d "@$CLUSTER/request"; }
# More losses than the leases' renewals can take before the head row is written.
lose 6
post 1 >"$CLUSTER/publish-1" || true
post 3 >"$CLUSTER/publish-2"
post 1 >"$CLUSTER/publish-3"
head=$(curl -sf "http://$PLATFORM/table/row?key=config%2Fhead" | jq -c '.row.value | fromjson | [.revision, .publishId]')
[ "$head" = '[2,"lost-publication"]' ] || fail "the head row is $head"
for answer in 2 3; do
  [ "$(jq -c '[.outcome == "published" or .outcome == "single-copy", .revision]' "$CLUSTER/publish-$answer")" = '[true,2]' ] ||
    fail "the repeated publication was answered with $(cat "$CLUSTER/publish-$answer")"
done
jq -e '(.outcome == "published" or .outcome == "single-copy") and .revision == 2 or .error.ran == "unknown"' "$CLUSTER/publish-1" >/dev/null ||
  fail "the first publication was answered with $(cat "$CLUSTER/publish-1")"
for index in 1 2 3 4; do
  wait_for 10 holds_revision "$index" 2 || fail "daemon $index does not hold revision 2"
done

lose 0
{ seq -f 'lost-charge-%g' 10
  for ((round = 1; round <= 10; ++round)); do
    [ "$(debit_runs "lost-debit-$round")" = 0 ] || [ "$(cat "$CLUSTER/code-$round")" != 200 ] || echo "lost-debit-$round"
  done; } | sort >"$CLUSTER/ids"
missing() { charges 2 | sort | comm -23 "$CLUSTER/ids" -; }
all_charged() { [ -z "$(missing)" ]; }
wait_for 10 all_charged || fail "charges are missing: $(missing | tr '\n' ' ')"
twice=$(charges 2 | sort | uniq -d)
[ -z "$twice" ] || fail "charges were written twice: $twice"
# An amount is written once: the sum of the rows is that of one charge for each debit.
for id in $(grep lost-debit "$CLUSTER/ids"); do
  amount=$(curl -sf "http://$(admin 2)/admin/v1/charges?team=$TEAM" | jq --arg id "$id" '[.charges[] | select(.request == $id) | .amount] | add')
  [ "$amount" = 2000 ] || fail "$id was charged $amount microcents"
done
figure answers_lost "$(lost)" answers
figure debits_answered "$answered" debits
figure debits_not_run "$refused" debits
figure debits_unknown "$unknown" debits
figure charges "$(wc -l <"$CLUSTER/ids")" charges
