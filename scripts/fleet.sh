# Functions that run a fleet of separate processes on loopback; sourced by the other scripts.
# Daemon i listens at 127.0.1.i; if LINKS is set, its peers connect to it through the link at 127.0.3.i. The
# platform is at 127.0.2.1:9000.
set -u
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
work=${WORK:-$root/.demo}
domains=(a b c d)
log=http://127.0.2.1:9000
proxy=$root/bin/jacinthproxy
standin=$root/bin/standin
declare -A pids

# start runs a command in the background under a name and appends its output to NAME.log.
start() { # name command...
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# signal_and_wait sends a signal to processes by name and waits until they have exited.
signal_and_wait() { # signal name...
  local signal=$1 name
  shift
  for name in "$@"; do
    [ -n "${pids[$name]:-}" ] && kill -"$signal" "${pids[$name]}" 2>/dev/null
  done
  for name in "$@"; do
    [ -n "${pids[$name]:-}" ] && wait "${pids[$name]}" 2>/dev/null
    unset "pids[$name]"
  done
}

kill_all() { signal_and_wait KILL "${!pids[@]}"; }

# write_settings writes the settings file of daemon i.
write_settings() { # i
  local domain=${domains[$((($1 - 1) % ${#domains[@]}))]}
  local peers="\"listen\": \"127.0.1.$1:7000\""
  [ -n "${LINKS:-}" ] && peers="$peers, \"advertise\": \"127.0.3.$1:7000\""
  cat >"$work/d$1.json" <<EOF
{
  // Settings of daemon $1.
  "fleet": {"name": "kerala-south", "failureDomains": ["a", "b", "c", "d"]},
  "failureDomain": "$domain",
  "callers": {"listen": "127.0.1.$1:8080"},
  "peers": {$peers},
  "operators": {"listen": "127.0.1.$1:7070"},
  "platform": {"log": "$log", "machines": "$log", "retention": "${RETENTION:-24h}"},
  "stopTimeout": "30s",
}
EOF
}

peer_address() { if [ -n "${LINKS:-}" ]; then echo "127.0.3.$1:7000"; else echo "127.0.1.$1:7000"; fi; }

start_daemon() { # i
  write_settings "$1"
  start "d$1" "$proxy" serve --settings "$work/d$1.json" ${STRICT:+--strict}
}

# set_vm_list sets the platform's VM list: entry VMs by number, backend servers as address or address=leaving.
set_vm_list() { # "entries" "backends"
  local list="" i
  for i in $1; do list+="{\"address\":\"$(peer_address "$i")\",\"role\":\"entry\",\"state\":\"live\"},"; done
  for i in $2; do
    local state=live
    [ "${i#*=}" = leaving ] && state=leaving
    list+="{\"address\":\"${i%=*}\",\"role\":\"backend\",\"state\":\"$state\"},"
  done
  "$standin" set "$log/machines" "[${list%,}]"
}

# wait_for repeats a command until it succeeds; it fails if that takes longer than the timeout.
wait_for() { # timeout_s command...
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -ge $end ] && return 1
    sleep 0.2
  done
}

dump() { "$proxy" dump --operators "127.0.1.$1:7070"; }
has_contact() { dump "$1" | grep -q "\"contact\": \"$2\""; }
dump_contains() { dump "$1" | grep -q "$2"; }

reset_work_dir() {
  rm -rf "$work"
  mkdir -p "$work"
}
