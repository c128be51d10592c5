#!/usr/bin/env bash
# Measures, with separate processes, the latency and processor time that the daemons add per request at half
# load, and the control traffic, CPU and memory of an idle daemon in fleets of three sizes.
# Usage: bench.sh [added|idle]
. "$(dirname "$0")/fleet.sh"
what=${1:-all}
hz=$(getconf CLK_TCK)
trap kill_all EXIT

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
control_bytes() { dump "$1" | grep -E '"(received|sent)Bytes"' | grep -oE '[0-9]+' | awk '{s += $1} END {print s}'; }
field() { sed -E "s/.*\"$2\":([0-9.]+).*/\1/" <<<"$1"; }
fleet_formed() { for i in $1; do dump_contains "$i" "\"members\": $2," || return 1; done; }

measure_added() {
  reset_work_dir
  start platform "$standin" platform --listen 127.0.2.1:9000
  for i in 1 2 3 4 5 6; do start "b$i" "$standin" backend --listen "127.0.2.1$i:9001" --latency 10ms --slots 64; done
  wait_for 5 "$standin" get $log/machines
  set_vm_list "1 2 3 4" ""
  for i in 1 2 3 4; do start_daemon $i; done
  # 24 slots of 10 ms each: 1100 requests a second are half of their capacity.
  sed 's/"rate": 200, "burst": 400/"rate": 100000, "burst": 100000/' "$root/examples/ledger.json" >"$work/bench.json"
  "$proxy" config publish --log $log --team ledger --file "$work/bench.json" >/dev/null
  key=$("$proxy" key create --log $log --team ledger --account pit-crew --name k 2>/dev/null)
  wait_for 20 fleet_formed "1 2 3 4" 4
  entries=127.0.1.1:8080,127.0.1.2:8080,127.0.1.3:8080,127.0.1.4:8080
  servers=$(for i in 1 2 3 4 5 6; do printf '127.0.2.1%d:9001,' $i; done)
  rate=${RATE:-1100}
  "$standin" load --entry $entries --path /ledger/balance/x --key "$key" --rate "$rate" --for 3s >/dev/null
  direct=$("$standin" load --direct --entry "${servers%,}" --path /x --rate "$rate" --for 8s)
  before=0
  for i in 1 2 3 4; do before=$((before + $(cpu_ticks "${pids[d$i]}"))); done
  through=$("$standin" load --entry $entries --path /ledger/balance/x --key "$key" --rate "$rate" --for 8s)
  after=0
  for i in 1 2 3 4; do after=$((after + $(cpu_ticks "${pids[d$i]}"))); done
  echo "direct  $direct"
  echo "through $through"
  awk -v a="$(field "$direct" p50Ms)" -v b="$(field "$through" p50Ms)" -v c="$(field "$direct" p99Ms)" -v d="$(field "$through" p99Ms)" \
    -v t=$((after - before)) -v n="$(field "$through" sent)" -v hz="$hz" -v rate="$rate" 'BEGIN {
      printf "added at %d requests/s: %.2f ms at the median, %.2f ms at the 99th percentile (%.2f times a direct call); the bound is 5 ms\n", rate, b - a, d - c, d / c
      printf "processor time of all daemons per request: %.0f us; one core handles %.0f requests/s\n", t / hz / n * 1e6, n * hz / t
    }'
  signal_and_wait TERM d1 d2 d3 d4
  kill_all
}

measure_idle() {
  printf '%-8s %16s %14s %14s\n' daemons 'control bytes/s' 'core %' 'resident MB'
  for n in ${SIZES:-10 20 40}; do
    reset_work_dir
    start platform "$standin" platform --listen 127.0.2.1:9000
    wait_for 5 "$standin" get $log/machines
    all=$(seq 1 "$n")
    set_vm_list "$(echo $all)" ""
    for i in $all; do start_daemon "$i"; done
    "$proxy" config publish --log $log --team ledger --file "$root/examples/ledger.json" >/dev/null
    wait_for 60 fleet_formed "$all" "$n"
    sleep 10
    b=0 t=0 r=0
    for i in $all; do b=$((b - $(control_bytes "$i"))) t=$((t - $(cpu_ticks "${pids[d$i]}"))); done
    sleep 30
    for i in $all; do b=$((b + $(control_bytes "$i"))) t=$((t + $(cpu_ticks "${pids[d$i]}"))) r=$((r + $(resident_kb "${pids[d$i]}"))); done
    awk -v n="$n" -v b=$b -v t=$t -v r=$r -v hz="$hz" 'BEGIN {
      printf "%-8d %16.0f %14.2f %14.1f\n", n, b / n / 30, t / hz / n / 30 * 100, r / n / 1024 }'
    signal_and_wait TERM $(for i in $all; do echo "d$i"; done)
    kill_all
  done
}

[ "$what" = idle ] || measure_added
[ "$what" = added ] || measure_idle
