#!/usr/bin/env bash
# A daemon is killed while it streams an answer. Guards against an answer that is cut, repeated or mixed when the
# caller resumes at another daemon, and against a charge that is lost with the daemon or written twice.
set -euo pipefail
. "$(dirname "$0")/common.sh"
start_cluster --base-gap-ms 20

whole=$(ask 3 kill-whole "$(chat 'How long is my set?' 120 false busker-chat@busker-chat-small)" | jq -r '.choices[0].message.content')
[ -n "$whole" ] || fail "no whole answer"

body=$(chat 'How long is my set?' 120 true busker-chat@busker-chat-small)
ask 1 kill-stream "$body" -N -D "$CLUSTER/headers" >"$CLUSTER/first" 2>/dev/null &
caller=$!
wait_for 10 grep -q '^id: [1-9]' "$CLUSTER/first" || fail "no event of the first answer"
sleep 0.5
stop_now west-a-1
killed=$(now_ms)
wait "$caller" || true
grep -q '\[DONE\]' "$CLUSTER/first" && fail "the first answer ended before the daemon was killed"
token=$(sed -n 's/^X-Resume-Token: \(.*\)\r$/\1/ip' "$CLUSTER/headers")
# An event counts once its empty line has been read; the rest was cut off.
awk 'BEGIN { RS = "\n\n"; ORS = "\n\n" } { if (last != "") print last; last = $0 }' <(tr -d '\r' <"$CLUSTER/first") >"$CLUSTER/complete"
seen=$(sed -n 's/^id: *\([0-9]*\).*/\1/p' "$CLUSTER/complete" | tail -n 1)
[ -n "$token" ] && [ -n "$seen" ] || fail "no resume token or event id"

ask 3 kill-stream '' -N -H "X-Resume-Token: $token" -H "Last-Event-ID: $seen" >"$CLUSTER/second" ||
  fail "the caller could not resume"
resumed=$(now_ms)
grep -q '\[DONE\]' "$CLUSTER/second" || fail "the resumed answer did not end: $(tail -c 300 "$CLUSTER/second")"
joined=$(text_of "$CLUSTER/complete")$(text_of "$CLUSTER/second")
[ "$joined" = "$whole" ] || fail "the joined text differs: '$joined' instead of '$whole'"

wait_for 10 charged 3 kill-stream || fail "the charge was not written"
sleep 1
count=$(charge_count 3 kill-stream)
[ "$count" = 1 ] || fail "the charge was written $count times"
# The resumed answer costs what the whole one did.
usage() { curl -sf "http://$(admin 3)/admin/v1/charges?team=$TEAM" | jq -c --arg id "$1" '.charges[] | select(.request == $id) | [.amount, .promptTokens, .completionTokens]'; }
[ "$(usage kill-stream)" = "$(usage kill-whole)" ] || fail "charged $(usage kill-stream) instead of $(usage kill-whole)"
# A caller that has all of the text and lost only the end gets a whole response: it once got chunks without a header.
last=$(sed -n 's/^id: *\([0-9]*\).*/\1/p' "$CLUSTER/second" | tail -n 1)
ask 2 kill-stream '' -N -D "$CLUSTER/end.headers" -H "X-Resume-Token: $token" -H "Last-Event-ID: $last" >"$CLUSTER/end"
grep -q '^HTTP/1.1 200' "$CLUSTER/end.headers" || fail "resuming at the end has no header"
grep -q '\[DONE\]' "$CLUSTER/end" || fail "resuming at the end did not end"
[ -z "$(text_of "$CLUSTER/end")" ] || fail "resuming at the end repeated text"
figure bytes_before_kill "$seen" bytes
figure bytes_whole ${#whole} bytes
figure kill_to_end $((resumed - killed)) ms
figure charges "$count" charges
