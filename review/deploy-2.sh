# Sourced by the scripts of cases 6 to 10. Starts the programs of the deploy
# file as a small deployment on loopback addresses, and ends them.
#
#   start_deployment CONTROLS EDGES   sets NET, such as 127.90.7.
#   restart_deployment   kills all processes at once and starts them again
#   stop_deployment

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
WORK="$(mktemp -d)"
PIDS=()

# The command of a role in the deploy file.
command_of() {
  sed -n "/^\[roles\.$1\]/,/^\[/s/^run = \"\(.*\)\"/\1/p" \
    "$ROOT/deploy/system.toml"
}

settings() { # NAME ROLE IP ZONE LISTEN DATA_DIR LOSS_COUNTS
  cat <<JSON
{"nodeName":"$1","role":"$2","machineClass":"$2","serves":["$2"],"ip":"$3",
"zone":"$4","region":"r","zones":{"z-a":"r","z-b":"r","z-c":"r","z-d":"r"},
"listen":$5,"internalPorts":[7720,7735],
"seeds":["${NET}11:8166","${NET}12:8166","${NET}13:8166"],"bootstrap":true,
"lossCounts":$7,"limits":{"cpuShare":0.25,"cores":1,"memoryMb":260,
"maxFds":4100,"linkMbps":1000.0,"diskMb":128},"dataDir":$6,
"discovery":"registry","entry":"bgp","heartbeatMs":770,
"contracts":["base","drain","config","cost","recover","flows"],
"tolerate":{"machines":1,"zones":1,"regions":0},
"bounds":{"seedLagS":3,"reuseAfterS":2,"contactMs":4000,"ackMs":5000,
"catchUpS":4,"drainMs":3000,"graceS":6,"lossSlackMs":200,
"configApplyMs":3000,"downgradeMs":250,"maxSkewMs":12000,"recoveryS":12,
"flowSkewMs":2000,"maxFlowS":60},"config_mode":"highest","hash":"mod",
"forwardingMode":"echo"}
JSON
}

start_program() { # NAME COMMAND
  (cd "$ROOT" && exec env -i PATH="$PATH" HOME="$HOME" \
    SARDINELEAD_BOOT="$WORK/$1.json" $2 >"$WORK/$1.log" 2>&1) &
  PIDS+=($!)
  disown $!  # Without a message when it is killed.
}

start_deployment() { # CONTROLS EDGES
  NET="127.$((64 + RANDOM % 150)).$((1 + RANDOM % 250))."
  local zones=(z-a z-b z-c z-d) i
  local control edge
  control="$(command_of control)"
  edge="$(command_of edge)"
  for ((i = 0; i < $1; ++i)); do
    mkdir -p "$WORK/data-$i"
    settings "control-$i" control "${NET}$((11 + i))" "${zones[i]}" \
      "{\"control\":\"${NET}$((11 + i)):8166\"}" "\"$WORK/data-$i\"" true \
      >"$WORK/control-$i.json"
    start_program "control-$i" "$control"
  done
  for ((i = 0; i < $2; ++i)); do
    settings "edge-$i" edge "${NET}$((21 + i))" "${zones[i]}" \
      "{\"datagramAddr\":\"${NET}$((21 + i)):8172\",\"ready\":\"${NET}$((21 + i)):8167\"}" \
      null false >"$WORK/edge-$i.json"
    start_program "edge-$i" "$edge"
  done
  sleep 1
  local pid
  for pid in "${PIDS[@]}"; do
    kill -0 "$pid" 2>/dev/null || { echo "a program did not start"; return 1; }
  done
}

kill_programs() {
  local pid
  for pid in "${PIDS[@]}"; do
    kill -KILL "$pid" 2>/dev/null
  done
  for pid in "${PIDS[@]}"; do
    while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done
  done
  PIDS=()
}

stop_deployment() {
  kill_programs
  rm -rf "$WORK"
}

# The disks are kept; "bootstrap" is true only at the first start.
restart_deployment() {
  local file name
  kill_programs
  for file in "$WORK"/*.json; do
    name="$(basename "$file" .json)"
    sed -i 's/"bootstrap":true/"bootstrap":false/' "$file"
    start_program "$name" "$(command_of "${name%-*}")"
  done
}
