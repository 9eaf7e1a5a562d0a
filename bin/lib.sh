# Functions shared by the scripts in this folder, which source this file. Sourcing it starts no process.
set -euo pipefail
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
# The folder for logs, process ids and data of the processes that the scripts start.
RUN=${SASSAFRAS_RUN:-"$ROOT/run"}
PIDS=()
OPERATOR_KEY=operator-key-of-the-example
export SASSAFRASLINK_OPERATOR_KEY=$OPERATOR_KEY

# The dist module collects the jars of all modules and libraries in one folder.
classpath() { echo "$ROOT/dist/target/lib/*"; }

build() { (cd "$ROOT" && mvn -q -B -DskipTests -Dspotless.check.skip=true install); }

# start_process NAME MAIN-CLASS ARGS...: starts a Java process, writes its id to RUN/NAME.pid and
# appends its output to RUN/NAME.log.
start_process() {
  local name=$1 main=$2; shift 2
  java -XX:+UseSerialGC -Xss256k ${JVM_FLAGS:--Xmx96m} -cp "$(classpath)" "$main" "$@" >>"$RUN/$name.log" 2>&1 &
  echo $! >"$RUN/$name.pid"
  PIDS+=($!)
}

pid_of() { cat "$RUN/$1.pid"; }

# Stops the processes that this script started, by their ids.
stop_started_processes() { for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; }

# run_cli ARGS...: runs a command of the command-line tool.
run_cli() { java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp "$(classpath)" org.sassafraslink.cli.Main "$@"; }

operator_digest() { printf '%s' "$OPERATOR_KEY" | sha256sum | cut -d' ' -f1; }

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS.
wait_for() {
  local end=$((SECONDS + $1)); shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= end)); then echo "timed out waiting for: $*" >&2; return 1; fi
    sleep 0.2
  done
}

ZONES=(udhna athwa varachha)
PLATFORM=http://127.0.0.1:9400
WORKERS=http://127.0.0.1:9600

start_platform() {
  local vm_options=()
  for i in 1 2 3; do vm_options+=(--vm "entry-$i,ENTRY,127.0.0.1$i,${ZONES[$((i - 1))]}"); done
  for i in 1 2 3 4 5 6 7 8 9; do vm_options+=(--vm "vm-$i,BACKEND,127.0.1.$i,${ZONES[$(((i - 1) % 3))]}"); done
  start_process platform org.sassafraslink.standins.PlatformStandIn --folder "$RUN/platform" "${vm_options[@]}"
}

start_backends() {
  local endpoints=()
  for i in 1 2 3 4 5 6 7 8 9; do
    endpoints+=(--endpoint "vm-$i,127.0.1.$i,9101" --endpoint "vm-$i,127.0.1.$i,9102")
  done
  start_process backends org.sassafraslink.standins.BackendStandIn --platform "$PLATFORM" \
    --runs-file "$RUN/runs" "${endpoints[@]}"
}

start_workers() { start_process workers org.sassafraslink.standins.WorkerStandIn --workers 8; }

# start_daemon N: starts entry daemon N at the address 127.0.0.1N.
start_daemon() {
  JVM_FLAGS="${DAEMON_JVM_FLAGS:--Xmx96m -XX:MaxMetaspaceSize=64m -XX:ReservedCodeCacheSize=32m}" \
  start_process "entry-$1" org.sassafraslink.daemon.process.Main \
    --vm-id "entry-$1" --zone "${ZONES[$(($1 - 1))]}" --host "127.0.0.1$1" \
    --platform-url "$PLATFORM" --worker-url "$WORKERS" \
    --operators "asha=sha256:$(operator_digest)" --absence-proof-ms 5000
}

# daemon_ready N: succeeds if entry daemon N reports that it is ready.
daemon_ready() { curl -sf "http://127.0.0.1$1:8081/ready"; }

# Starts all stand-ins and three entry daemons, and waits until the daemons are ready.
start_all() {
  mkdir -p "$RUN"; rm -rf "${RUN:?}"/*
  start_platform
  start_workers
  wait_for 20 curl -sf "$PLATFORM/vms"
  start_backends
  for i in 1 2 3; do start_daemon "$i"; done
  for i in 1 2 3; do wait_for 30 daemon_ready "$i"; done
}

ENTRY_URLS=http://127.0.0.11:8080,http://127.0.0.12:8080,http://127.0.0.13:8080

# Grants a key to the teams drivers and ward-clerks of the example, publishes its service files, and waits until
# all daemons answer requests. Sets FILES, DRIVER_KEY and CLERK_KEY.
publish_example() {
  export SASSAFRASLINK_ADMIN=http://127.0.0.11:8081
  FILES="$RUN/files"
  cp -r "$ROOT/examples/surat" "$FILES"
  DRIVER_KEY=$(run_cli keys grant "$FILES/teams/drivers.sassafras.yaml" drivers-1 | sed -n 's/^key: //p')
  CLERK_KEY=$(run_cli keys grant "$FILES/teams/ward-clerks.sassafras.yaml" clerks-1 | sed -n 's/^key: //p')
  run_cli publish "$FILES" >/dev/null
  for i in 1 2 3; do wait_for 20 route_sheet_answered "$i"; done
}

# route_sheet_answered N: requests a route sheet from entry daemon N with the key of the drivers team, and
# succeeds if the daemon answers with it.
route_sheet_answered() { curl -sf -H "Sassafras-Key: $DRIVER_KEY" "http://127.0.0.1$1:8080/route-sheets/sheets/ward-7"; }

# run_caller ARGS...: sends requests, checks the responses, and prints a summary as one line of JSON.
run_caller() { java -XX:+UseSerialGC -Xmx128m -cp "$(classpath)" org.sassafraslink.standins.CallerStandIn "$@"; }
