#!/usr/bin/env bash
# Connections that send nothing until the idle timeout. Guards against an idle connection that ends the process: the
# error of the first version was freed twice.
set -euo pipefail
. "$(dirname "$0")/common.sh"
start_platform
write_settings 1 west-a-1 west-a west
printf 'http:\n  idle_timeout: 1 s\n' >>"$CLUSTER/west-a-1.yaml"
start west-a-1 "$BUILD/packages/daemon/bulrushpitchd" --settings "$CLUSTER/west-a-1.yaml"
list_daemon 1 west-a-1 west-a
wait_for 10 ready 1 || fail "the daemon is not ready"
for attempt in 1 2 3 4; do
  exec 5<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 1))"
  # The second and the fourth connection have carried a request before they fall idle.
  [ $((attempt % 2)) = 1 ] || printf 'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n' >&5
  timeout 5 cat <&5 >"$CLUSTER/idle.$attempt" || fail "connection $attempt was not closed"
  exec 5>&-
  grep -q '"code":108' "$CLUSTER/idle.$attempt" || fail "connection $attempt got '$(cat "$CLUSTER/idle.$attempt")'"
done
kill -0 "${PIDS[west-a-1]}" 2>/dev/null || fail "the daemon has ended"
ready 1 >/dev/null || fail "the daemon is not ready any more"
figure idle_connections 4 connections
