#!/usr/bin/env bash
# Cold engines under more requests than they can take, and an engine that leaves. Guards against a cold engine that gets
# more than its cold limit or falls over, and against new work for a leaving engine after 3 s.
set -euo pipefail
WARM=
# The engines stay cold for the whole test, and both sides know the same limit.
WARM_UP='600 s'
COLD_LIMIT=2
. "$(dirname "$0")/common.sh"
start_cluster --cold-limit "$COLD_LIMIT" --warm-up-ms 600000

# burst PREFIX COUNT: so many requests at once over all daemons, for versions of all engines.
VERSIONS=(busker-chat@busker-chat-small busker-chat@busker-chat-medium)
burst() {
  local number asking=()
  for ((number = 1; number <= $2; ++number)); do
    ask $((number % 4 + 1)) "$1-$number" "$(chat "question $1 $number" 30 false "${VERSIONS[number % 2]}")" \
      -o "$CLUSTER/$1-$number" -w '%{http_code}\n' >"$CLUSTER/$1-$number.code" &
    asking+=($!)
  done
  wait "${asking[@]}"
}
started=$(now_ms)
for round in 1 2 3; do
  burst "cold$round" 30
done
figure bursts $(($(now_ms) - started)) ms
for ((number = 1; number <= 20; ++number)); do
  stats=$(curl -sf "http://127.0.0.1:$((ENGINE_PORT + number - 1))/standin/stats")
  jq -e ".maxRunning <= $COLD_LIMIT and .fallOvers == 0 and .cold" <<<"$stats" >/dev/null || fail "engine $number: $stats"
  jq -c '.maxRunning' <<<"$stats" >>"$CLUSTER/running"
done
# A refusal under this load is permitted, a request that is lost is not.
answered=0
for code in "$CLUSTER"/cold*.code; do
  if [ "$(cat "$code")" = 200 ]; then
    answered=$((answered + 1))
  else
    [ "$(jq -r .error.ran "${code%.code}")" = no ] || fail "a request got $(cat "$code"): $(cat "${code%.code}")"
  fi
done
[ "$answered" -ge 45 ] || fail "only $answered of 90 requests were answered"
figure cold_requests_answered "$answered" requests
figure cold_max_running "$(sort -n "$CLUSTER/running" | tail -n 1)" requests

# The engine that has had most work leaves.
for ((number = 1; number <= 20; ++number)); do
  echo "$(engine_stat "$number" 1 started) $number"
done | sort -n | tail -n 1 >"$CLUSTER/busiest"
read -r work busiest <"$CLUSTER/busiest"
curl -sf "http://127.0.0.1:$((ENGINE_PORT + busiest - 1))/standin/leave" -o /dev/null -d '{"leaving":true}'
left=$(now_ms)
burst leaving 20
late() {
  curl -sf "http://127.0.0.1:$((ENGINE_PORT + busiest - 1))/audit" |
    jq --argjson left "$left" "[.attempts[] | select(.at > \$left) | .at - \$left] | $1"
}
while [ $(($(now_ms) - left)) -lt 3000 ]; do sleep 0.1; done
for round in 1 2; do
  burst "left$round" 30
done
[ "$(late 'map(select(. > 3000)) | length')" = 0 ] || fail "the leaving engine got work until $(late max) ms after it left"
grep -qx 200 "$CLUSTER"/left*.code || fail "no request was answered after the engine had left"
figure work_before_leaving "$work" requests
figure work_while_leaving "$(late length)" requests
figure last_work_after_leaving "$(late 'max // 0')" ms
