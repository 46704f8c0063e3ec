# Functions that start stand-ins, agents and entries on the loopback address. Sourced by the
# scripts that measure; every process started is stopped by its id at the exit.

fleet_pids=()
declare -A fleet_pid_of fleet_port_of

# Starts a program in the background: fleet_start NAME COMMAND...
fleet_start() {
  local name=$1
  shift
  "$@" >"$fleet_dir/$name.out" 2>"$fleet_dir/$name.err" &
  fleet_pid_of[$name]=$!
  fleet_pids+=("$!")
}

# Starts a stand-in and reads its port from its first line: fleet_standin NAME PROGRAM...
fleet_standin() {
  local name=$1 program=$2
  shift 2
  fleet_start "$name" "$build/apps/standins/samphiresail-standin-$program" "$@"
  local tries=0
  while ! grep -q ready "$fleet_dir/$name.out" 2>/dev/null; do
    sleep 0.05
    tries=$((tries + 1))
    [ "$tries" -lt 200 ] || { echo "$name did not start" >&2; exit 1; }
  done
  fleet_port_of[$name]=$(awk '/ready/ { for (i = 1; i <= NF; i++) if ($i ~ /^[0-9]+$/) { print $i; exit } }' "$fleet_dir/$name.out")
}

fleet_stop() {
  local pid
  for pid in "${fleet_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  local end=$((SECONDS + 8))
  for pid in "${fleet_pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$end" ]; do sleep 0.05; done
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  fleet_pids=()
}

# Draws the first of a range of ports that differs from run to run.
fleet_ports() { fleet_next_port=$((21000 + ($$ * 37) % 9000)); }
fleet_port() {
  while (exec 3<>"/dev/tcp/127.0.0.1/$fleet_next_port") 2>/dev/null; do
    fleet_next_port=$((fleet_next_port + 1))
  done
  port=$fleet_next_port
  fleet_next_port=$((fleet_next_port + 1))
}

# Writes the settings that both roles have: fleet_common NAME VM ZONE
fleet_common() {
  fleet_port
  local peer=$port
  fleet_port
  fleet_port_of[$1.metrics]=$port
  cat <<YAML
name: $1
vm: $2
availability_zone: $3
peer: 127.0.0.1:$peer
metrics: 127.0.0.1:$port
store_url: http://127.0.0.1:${fleet_port_of[store]}
log_level: warn
YAML
}

# fleet_entry NAME ZONE [EXTRA-SETTINGS]
fleet_entry() {
  fleet_common "$1" "vm-$1" "$2" >"$fleet_dir/$1.yml"
  fleet_port
  fleet_port_of[$1]=$port
  cat >>"$fleet_dir/$1.yml" <<YAML
http: 127.0.0.1:$port
http_threads: ${fleet_http_threads:-256}
vm_list_url: http://127.0.0.1:${fleet_port_of[vms]}
${3:-}
YAML
  fleet_start "$1" "$build/apps/samphiresail/samphiresail" entry --settings "$fleet_dir/$1.yml"
}

# fleet_agent NAME ZONE POOL BACKEND-PORT [EXTRA-SETTINGS]
fleet_agent() {
  fleet_common "agent-$1" "vm-$1" "$2" >"$fleet_dir/agent-$1.yml"
  cat >>"$fleet_dir/agent-$1.yml" <<YAML
endpoint: $1
pool: $3
backend_url: http://127.0.0.1:$4
${5:-}
YAML
  fleet_start "agent-$1" "$build/apps/samphiresail/samphiresail" agent \
    --settings "$fleet_dir/agent-$1.yml"
}

# Waits until an entry answers /ready: fleet_ready NAME SECONDS
fleet_ready() {
  local end=$((SECONDS + $2))
  until curl -fsS -m 1 "http://127.0.0.1:${fleet_port_of[$1]}/ready" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# Runs an operators' command against the store.
fleet_operate() {
  "$build/apps/samphiresail/samphiresail" "$@" --store "http://127.0.0.1:${fleet_port_of[store]}"
}

# Issues a key for each account of the catalogue into $fleet_dir/keys.
fleet_keys() {
  local account key
  for account in "$@"; do
    key=$(fleet_operate keys issue --account "$account" | awk '$1 == "key:" { print $2 }')
    echo "$account $key" >>"$fleet_dir/keys"
  done
}
