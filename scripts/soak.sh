#!/usr/bin/env bash
# Runs a fleet of separate processes under load and random faults, two at a time, and checks the
# guarantees. Daemons exit at the first violation that they detect. Usage: soak.sh [rounds] [seed]
LINKS=1 STRICT=1
. "$(dirname "$0")/fleet.sh"
rounds=${1:-8} seed=${2:-1}
RANDOM=$seed
echo "rounds $rounds, seed $seed"
reset_work_dir
trap kill_all EXIT
failed=0
count=8
daemons=$(seq 1 $count)
backends="1 2 3 4 5 6"
declare -A stopped cut paused

say() { printf '%s %s\n' "$(date +%T)" "$*"; }
fail() { say "FAILED: $*"; failed=1; }
random_index() { echo $((RANDOM % $1 + 1)); }
entries() { local i list=""; for i in $daemons; do list+="127.0.1.$i:8080,"; done; echo "${list%,}"; }
publish_vm_list() { set_vm_list "$daemons" "${leaving:-}"; }
set_links() {
  local k list=""
  for k in "${!cut[@]}"; do list+="${cut[$k]},"; done
  "$standin" set http://127.0.3.100:9000/faults "[${list%,}]"
}

start platform "$standin" platform --listen 127.0.2.1:9000
for i in $backends; do start "b$i" "$standin" backend --listen "127.0.2.1$i:9001" --latency 10ms; done
links=()
for i in $daemons; do links+=(--link "127.0.3.$i:7000=127.0.1.$i:7000"); done
start links "$standin" links --listen 127.0.3.100:9000 "${links[@]}"
wait_for 5 "$standin" get "$log/machines" || fail "the platform did not start within 5 s"
publish_vm_list
for i in $daemons; do start_daemon "$i"; done
"$proxy" config publish --log $log --team ledger --file "$root/examples/ledger.json" >/dev/null
crew=$("$proxy" key create --log $log --team ledger --account pit-crew --name phone 2>/dev/null)
digger=$("$proxy" key create --log $log --team ledger --account digger --name phone 2>/dev/null)
fleet_formed() { for i in $daemons; do dump_contains "$i" '"members": 8,' && dump_contains "$i" '"ledger": 3' || return 1; done; }
wait_for 30 fleet_formed || fail "the fleet did not form within 30 s"
began=$(date +%s%N)

# fault_NAME starts a fault; clear_faults ends all faults and restarts the daemons that were stopped.
fault_kill() { victim=$(random_index $count); say "kill daemon $victim"; signal_and_wait KILL "d$victim"; stopped[$victim]=1; }
fault_stop() { victim=$(random_index $count); say "graceful shutdown of daemon $victim"; [ -n "${pids[d$victim]:-}" ] && kill -TERM "${pids[d$victim]}"; stopped[$victim]=term; }
fault_pause() { victim=$(random_index $count); say "pause daemon $victim"; [ -n "${pids[d$victim]:-}" ] && kill -STOP "${pids[d$victim]}"; paused[$victim]=1; }
fault_cut() { victim=$(random_index $count); say "traffic sent by daemon $victim is dropped"; cut[$victim]="{\"from\":\"127.0.1.$victim\",\"to\":\"\"}"; set_links; }
fault_outage() { say "log and VM list down"; "$standin" set "$log/faults" '{"outage":true}'; }
fault_slowlog() { say "log slow, responses to appends lost"; "$standin" set "$log/faults" '{"delayMs":1500,"loseAnswers":true}'; }
fault_lag() { say "VM list lags"; "$standin" set "$log/faults" '{"lagMs":8000}'; }
fault_slow() { victim=$(random_index 6); say "backend server $victim slow"; "$standin" set "http://127.0.2.1$victim:9001/faults" '{"slowFactor":10}'; }
fault_fail() { victim=$(random_index 6); say "backend server $victim fails, hangs, truncates responses and mixes up request IDs"; "$standin" set "http://127.0.2.1$victim:9001/faults" '{"failShare":0.3,"cutShare":0.2,"crossShare":0.2,"silentShare":0.1}'; }
fault_flap() { victim=$(random_index 6); say "backend server $victim flaps"; "$standin" set "http://127.0.2.1$victim:9001/faults" '{"failShare":0.6,"flapMs":1000}'; }
fault_silence() { victim=$(random_index 6); say "open connections of backend server $victim hang"; "$standin" set "http://127.0.2.1$victim:9001/faults" '{"silenceOpen":true}'; }
fault_drain() { victim=$(random_index 6); say "backend server $victim drains"; "$standin" set "http://127.0.2.1$victim:9001/faults" '{"drain":true}'; }
fault_race() { say "two operators publish concurrently"; "$proxy" config show --log $log ledger >"$work/race.json" 2>/dev/null && for n in 1 2; do "$proxy" config publish --log $log --team ledger --file "$work/race.json" >>"$work/race.log" 2>&1 & done; }
faults=(kill stop pause cut outage slowlog lag slow fail flap silence drain race)

clear_faults() {
  "$standin" set "$log/faults" '{}'
  for i in $backends; do "$standin" set "http://127.0.2.1$i:9001/faults" '{}'; done
  cut=()
  set_links
  for i in "${!paused[@]}"; do [ -n "${pids[d$i]:-}" ] && kill -CONT "${pids[d$i]}"; done
  paused=()
  for i in "${!stopped[@]}"; do
    if [ -n "${pids[d$i]:-}" ]; then
      wait "${pids[d$i]}"
      local code=$?
      unset "pids[d$i]"
      [ "${stopped[$i]}" = term ] && [ $code != 0 ] && fail "graceful shutdown of daemon $i exited with code $code"
    fi
    start_daemon "$i"
  done
  stopped=()
}

load() { "$standin" load --entry "$(entries)" "$@"; }
total=0
for round in $(seq 1 "$rounds"); do
  say "round $round"
  load --path /ledger/balance/x --key "$crew" --rate 60 --for 14s >"$work/get$round.json" &
  a=$!
  load --path /ledger/dispatch/x --method POST --once --job "r$round-" --key "$crew" --rate 30 --for 14s >"$work/once$round.json" &
  b=$!
  load --path /ledger/dispatch/x --method POST --job "p$round-" --key "$crew" --rate 10 --for 14s >"$work/post$round.json" &
  c=$!
  load --path /ledger/balance/x --key "$digger" --rate 25 --for 14s >"$work/digger$round.json" &
  d=$!
  sleep 2
  for _ in 1 2; do "fault_${faults[$((RANDOM % ${#faults[@]}))]}"; done
  sleep 8
  clear_faults
  wait $a $b $c $d
  cat "$work/get$round.json" "$work/once$round.json"
  for f in get once post digger; do
    grep -q '"wrong":0' "$work/$f$round.json" || fail "a truncated response or one to another request in round $round"
  done
  for n in $(seq 1 $count); do
    [ -n "${pids[d$n]:-}" ] && kill -0 "${pids[d$n]}" 2>/dev/null || fail "daemon $n exited on its own: $(grep violated "$work/d$n.log" | tail -1)"
  done
  total=$((total + $(sed -E 's/.*"answered":([0-9]+).*/\1/' "$work/digger$round.json")))
done

say "checks"
for i in $backends; do "$standin" get "http://127.0.2.1$i:9001/runs"; done >"$work/runs.json"
twice=$(grep -oE '"[rp][0-9]+-[0-9]+":[0-9]+' "$work/runs.json" | awk -F: '{n[$1]+=$2} END {for (j in n) if (n[j] > 1) {c++; print j > "/dev/stderr"}; print c+0}')
ran=$(grep -oE '"[rp][0-9]+-[0-9]+":[0-9]+' "$work/runs.json" | wc -l)
say "$ran dispatches ran, $twice of them twice"
[ "$twice" = 0 ] || fail "a dispatch ran twice"
seconds=$((($(date +%s%N) - began) / 1000000000 + 1))
say "digger: $total answered in $seconds s; burst and rate allow $((10 + 5 * seconds))"
[ "$total" -le $((10 + 5 * seconds)) ] || fail "digger exceeded burst and rate"
grep -hl "violated" "$work"/d*.log && fail "a guarantee was violated"
configs_agree() { for i in $daemons; do dump "$i" | grep '"ledger":' | head -1; done | sort -u | wc -l | grep -qx 1; }
wait_for 15 configs_agree || fail "the daemons did not agree on the configuration within 15 s"
all_in_contact() { for i in $daemons; do has_contact "$i" log || return 1; done; }
wait_for 30 all_in_contact || fail "not all daemons were in contact with the log again within 30 s"
sum=$(load --path /ledger/balance/x --key "$crew" --rate 50 --for 2s)
echo "$sum"
grep -q '"answered":100,' <<<"$sum" || fail "not all 100 requests were answered after the faults ended"
"$proxy" key withdraw --log $log --team ledger --account digger --name phone 2>/dev/null
sleep 3
sum=$(load --path /ledger/balance/x --key "$digger" --rate 50 --for 1s)
grep -q '"answered":0,' <<<"$sum" || fail "a withdrawn key is still accepted after 3 s: $sum"
signal_and_wait TERM $(for i in $daemons; do echo "d$i"; done)
[ $failed = 0 ] && say "all checks passed" || say "some checks failed; the logs are in $work"
exit $failed
