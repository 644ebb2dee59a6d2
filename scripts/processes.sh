# Sourced by scripts that run the daemons on loopback. Writes the settings of
# control VMs and balancers, and starts and stops processes by process id.
#
# Requires the variables build (directory of the binaries), data (an empty
# directory) and base (first port).

pids=()
declare -A pid_of

# start NAME PROGRAM ARGUMENTS...: starts a process that logs to $data/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$data/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=($!)
}

# stop NAME SIGNAL: signals the process and returns its exit code.
stop() {
  local pid=${pid_of[$1]}
  kill "-$2" "$pid" 2>/dev/null || true
  unset "pid_of[$1]"
  wait "$pid" 2>/dev/null
}

stop_all() {
  local pid
  for pid in "${pid_of[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

# Prints the first of COUNT consecutive ports that are free for TCP and UDP.
free_base() {
  local count=$1 base used
  used=$(awk 'FNR > 1 { split($2, a, ":"); print a[2] }' /proc/net/tcp /proc/net/udp |
    while read -r hex; do echo $((16#$hex)); done | sort -n | uniq)
  for ((base = 20100; base + count < 32000; base += count)); do
    awk -v low="$base" -v high="$((base + count))" \
      '$1 >= low && $1 < high { found = 1 } END { exit found }' <<<"$used" || continue
    echo "$base"
    return
  done
  echo "no free ports" >&2
  return 1
}

control_links() { echo $((base + $1)); }
control_http() { echo $((base + 10 + $1)); }

# Prints the settings lines for control VMs 1 to COUNT.
control_vms() {
  local i
  for ((i = 1; i <= $1; ++i)); do
    echo "vm = $i 127.0.0.1:$(control_links "$i")"
  done
}

# write_access: writes the shared key and the tokens of an operator and of the
# targets of both workspaces.
write_access() {
  local name token
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$data/key"
  : >"$data/access.ini"
  for name in root linaw sabaq; do
    token=$(head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n')
    echo "$token" >"$data/$name.token"
    if [ "$name" = root ]; then
      printf '[operator root]\nworkspaces = *\n'
    else
      printf '[targets %s]\n' "$name"
    fi >>"$data/access.ini"
    printf 'token_sha256 = %s\n' \
      "$(printf %s "$token" | sha256sum | cut -d' ' -f1)" >>"$data/access.ini"
  done
}

# write_control ID COUNT: writes the settings and creates the data directory of
# one of COUNT control VMs.
write_control() {
  mkdir -p "$data/control-$1"
  {
    printf '[node]\nid = %s\ndata_folder = %s\n' "$1" "$data/control-$1"
    printf '[listen]\nlinks = 127.0.0.1:%s\nhttp = 127.0.0.1:%s\n' \
      "$(control_links "$1")" "$(control_http "$1")"
    printf '[control]\n'
    control_vms "$2"
    printf '[security]\nkey_file = %s\naccess_file = %s\n' \
      "$data/key" "$data/access.ini"
  } >"$data/control-$1.ini"
}

start_control() {
  start "control-$1" "$build/controld" "--settings=$data/control-$1.ini"
}

# begin_control COUNT: configures and starts COUNT control VMs.
begin_control() {
  local i
  for ((i = 1; i <= $1; ++i)); do write_control "$i" "$1"; done
  "$build/controld" "--settings=$data/control-1.ini" --bootstrap
  for ((i = 1; i <= $1; ++i)); do start_control "$i"; done
}

ctl() { "$build/sardinectl" "--settings=$data/sardinectl.ini" "$@"; }

# wait_for SECONDS COMMAND...: retries the command until it succeeds or the time
# is up.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}
