# Functions that start a platform, upstreams and daemons on loopback, for the demo, the measurements and the tests
# with real processes. To be sourced. All state is under $CLUSTER; every process that was started is stopped by id.

CLUSTER=${CLUSTER:-$(mktemp -d)}
BUILD=${BUILD:-build}
BASE_PORT=${BASE_PORT:-20000}
PLATFORM=127.0.0.1:$((BASE_PORT + 900))
declare -A PIDS=()

# start NAME COMMAND...: runs a process in the background and remembers its id.
start() {
  local name=$1
  shift
  "$@" >"$CLUSTER/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# stop_now NAME: SIGKILL.
stop_now() {
  kill -KILL "${PIDS[$1]}" 2>/dev/null || true
  wait "${PIDS[$1]}" 2>/dev/null || true
  unset "PIDS[$1]"
}

# stop_gracefully NAME: SIGTERM; returns the process's exit code.
stop_gracefully() {
  local code=0
  kill -TERM "${PIDS[$1]}" 2>/dev/null || true
  wait "${PIDS[$1]}" || code=$?
  unset "PIDS[$1]"
  return "$code"
}

stop_all() {
  local name
  for name in "${!PIDS[@]}"; do
    kill -CONT "${PIDS[$name]}" 2>/dev/null || true
    kill -KILL "${PIDS[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  PIDS=()
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

start_platform() {
  start platform "$BUILD/packages/standin/bulrushpitch-standin" platform --port $((BASE_PORT + 900)) "$@"
  wait_for 10 curl -sf "http://$PLATFORM/standin/stats"
}

# start_engines NAME FIRST_PORT COUNT DOMAIN [arguments]: engines on consecutive ports.
start_engines() {
  local name=$1 port=$2 count=$3 domain=$4
  shift 4
  start "$name" "$BUILD/packages/standin/bulrushpitch-standin" engine --port "$port" --count "$count" --name "$name" \
    --domains "$domain" --platform "$PLATFORM" "$@"
  wait_for 10 curl -sf "http://127.0.0.1:$port/load"
}

# write_settings INDEX NAME DOMAIN REGION
write_settings() {
  cat >"$CLUSTER/$2.yaml" <<SETTINGS
instance: $2
failure_domain: $3
region: $4
listen:
  callers: 127.0.0.1:$((BASE_PORT + $1))
  admin: 127.0.0.1:$((BASE_PORT + 100 + $1))
  peers: 127.0.0.1:$((BASE_PORT + 200 + $1))
platform:
  region: ${STORE_REGION:-west}
  table: $PLATFORM
  object_store: $PLATFORM
  instance_list: $PLATFORM
  rating: $PLATFORM
  weight_store: $PLATFORM
token_keys:
  - id: demo-1
    secret: 60f51cc273d4183c4ff462c46cc31576be6c64bd0ae3d9dc2a5f3d5ebfdc2d44
drain_deadline: ${DRAIN_DEADLINE:-10 s}
balancer_delay: ${BALANCER_DELAY:-500 ms}
SETTINGS
}

# list_daemon INDEX NAME DOMAIN: enters a daemon in the platform's instance list, as the platform would.
list_daemon() {
  curl -sf "http://$PLATFORM/standin/instances" -d "{\"put\":[{\"name\":\"$2\",\"kind\":\"daemon\",\"domain\":\"$3\",
    \"address\":\"127.0.0.1:$((BASE_PORT + 200 + $1))\",\"admin\":\"127.0.0.1:$((BASE_PORT + 100 + $1))\",
    \"startId\":\"$2-$RANDOM\",\"leaving\":false}]}" >/dev/null
}

unlist_daemon() {
  curl -sf "http://$PLATFORM/standin/instances" -d "{\"remove\":[\"$1\"]}" >/dev/null
}

# start_daemon INDEX NAME DOMAIN REGION
start_daemon() {
  write_settings "$@"
  start "$2" "$BUILD/packages/daemon/bulrushpitchd" --settings "$CLUSTER/$2.yaml"
  list_daemon "$1" "$2" "$3"
}

ready() {
  curl -sf "http://127.0.0.1:$((BASE_PORT + $1))/readyz"
}

# Ampara's eight instances in its three failure domains.
AMPARA_INSTANCES=(
  "1 west-a-1 west-a west" "2 west-a-2 west-a west" "3 west-a-3 west-a west"
  "4 west-b-1 west-b west" "5 west-b-2 west-b west" "6 west-b-3 west-b west"
  "7 hill-a-1 hill-a hill" "8 hill-a-2 hill-a hill"
)

start_ampara_daemons() {
  local instance
  for instance in "${AMPARA_INSTANCES[@]}"; do
    start_daemon $instance
  done
  for instance in "${AMPARA_INSTANCES[@]}"; do
    wait_for 20 ready "${instance%% *}" || { echo "instance $instance is not ready" >&2; return 1; }
  done
}

AMPARA_VERSIONS=busker-chat-small=0.72,busker-chat-medium=0.82,busker-chat-large=0.93
AMPARA_VERSIONS+=,session-tag-1=0.78,session-tag-2=0.8,shift-summary-1=0.84

# start_ampara_upstreams [engine arguments]: the upstreams of examples/ampara.
start_ampara_upstreams() {
  start_engines pitch-llm-west-a 21001 8 west-a --versions "$AMPARA_VERSIONS" "$@"
  start_engines pitch-llm-west-b 21009 7 west-b --versions "$AMPARA_VERSIONS" "$@"
  start_engines pitch-llm-hill-a 21016 5 hill-a --versions "$AMPARA_VERSIONS" "$@"
  start till "$BUILD/packages/standin/bulrushpitch-standin" service --port 21101 --count 3 --name till \
    --domains west-a,west-b,hill-a --platform "$PLATFORM" --warm
  wait_for 10 curl -sf http://127.0.0.1:21101/load
}

# client ARGUMENTS: the operators' client against the first daemons.
client() {
  "$BUILD/packages/client/bulrushpitch" --daemon 127.0.0.1:$((BASE_PORT + 101)) \
    --daemon 127.0.0.1:$((BASE_PORT + 104)) --daemon 127.0.0.1:$((BASE_PORT + 107)) "$@"
}
