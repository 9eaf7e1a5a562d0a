# Functions that the scripts in this folder share. Source it; it starts nothing by itself.
set -euo pipefail
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
RUN=${SASSAFRAS_RUN:-"$ROOT/run"}
PIDS=()
ADMIN_KEY=operator-key-of-the-example
export SASSAFRASLINK_OPERATOR_KEY=$ADMIN_KEY

# One jar folder holds every module and library.
classpath() { echo "$ROOT/dist/target/lib/*"; }

build() { (cd "$ROOT" && mvn -q -B -DskipTests -Dspotless.check.skip=true install); }

# spawn NAME MAIN-CLASS ARGS...: starts a process and notes its id in RUN/NAME.pid.
spawn() {
  local name=$1 main=$2; shift 2
  java -XX:+UseSerialGC -Xss256k ${JVM_FLAGS:--Xmx96m} -cp "$(classpath)" "$main" "$@" >>"$RUN/$name.log" 2>&1 &
  echo $! >"$RUN/$name.pid"
  PIDS+=($!)
}

pid_of() { cat "$RUN/$1.pid"; }

# Ends what this script started, by process id.
stop_all() { for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; }

tool() { java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp "$(classpath)" org.sassafraslink.cli.Main "$@"; }

operator_digest() { printf '%s' "$ADMIN_KEY" | sha256sum | cut -d' ' -f1; }

# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for() {
  local end=$((SECONDS + $1)); shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= end)); then echo "gave up waiting for: $*" >&2; return 1; fi
    sleep 0.2
  done
}

ZONES=(udhna athwa varachha)
PLATFORM=http://127.0.0.1:9400
WORKERS=http://127.0.0.1:9600

start_platform() {
  local specs=()
  for i in 1 2 3; do specs+=(--vm "entry-$i,ENTRY,127.0.0.1$i,${ZONES[$((i - 1))]}"); done
  for i in 1 2 3 4 5 6 7 8 9; do specs+=(--vm "vm-$i,BACKEND,127.0.1.$i,${ZONES[$(((i - 1) % 3))]}"); done
  spawn platform org.sassafraslink.standins.PlatformStandIn --folder "$RUN/platform" "${specs[@]}"
}

start_backends() {
  local endpoints=()
  for i in 1 2 3 4 5 6 7 8 9; do
    endpoints+=(--endpoint "vm-$i,127.0.1.$i,9101" --endpoint "vm-$i,127.0.1.$i,9102")
  done
  spawn backends org.sassafraslink.standins.BackendStandIn --platform "$PLATFORM" \
    --runs-file "$RUN/runs" "${endpoints[@]}"
}

start_workers() { spawn workers org.sassafraslink.standins.WorkerStandIn --workers 8; }

# start_daemon N: the entry daemon at 127.0.0.1N.
start_daemon() {
  JVM_FLAGS="${DAEMON_JVM_FLAGS:--Xmx96m -XX:MaxMetaspaceSize=64m -XX:ReservedCodeCacheSize=32m}" \
  spawn "entry-$1" org.sassafraslink.daemon.process.Main \
    --vm-id "entry-$1" --zone "${ZONES[$(($1 - 1))]}" --host "127.0.0.1$1" \
    --platform-url "$PLATFORM" --worker-url "$WORKERS" \
    --operators "asha=sha256:$(operator_digest)" --absence-proof-ms 5000
}

ready() { curl -sf "http://127.0.0.1$1:8081/ready"; }

start_all() {
  mkdir -p "$RUN"; rm -rf "${RUN:?}"/*
  start_platform
  start_workers
  wait_for 20 curl -sf "$PLATFORM/vms"
  start_backends
  for i in 1 2 3; do start_daemon "$i"; done
  for i in 1 2 3; do wait_for 30 ready "$i"; done
}

ENTRIES=http://127.0.0.11:8080,http://127.0.0.12:8080,http://127.0.0.13:8080

# publish_example: publishes the example with a key for each team, and waits until all daemons answer.
publish_example() {
  export SASSAFRASLINK_ADMIN=http://127.0.0.11:8081
  FILES="$RUN/files"
  cp -r "$ROOT/examples/surat" "$FILES"
  DRIVER_KEY=$(tool keys grant "$FILES/teams/drivers.sassafras.yaml" drivers-1 | sed -n 's/^key: //p')
  CLERK_KEY=$(tool keys grant "$FILES/teams/ward-clerks.sassafras.yaml" clerks-1 | sed -n 's/^key: //p')
  tool publish "$FILES" >/dev/null
  for i in 1 2 3; do wait_for 20 answered "$i"; done
}

answered() { curl -sf -H "Sassafras-Key: $DRIVER_KEY" "http://127.0.0.1$1:8080/route-sheets/sheets/ward-7"; }

# caller ARGS...: the checking caller; prints one line of JSON.
caller() { java -XX:+UseSerialGC -Xmx128m -cp "$(classpath)" org.sassafraslink.standins.CallerStandIn "$@"; }
