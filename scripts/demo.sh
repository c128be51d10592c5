#!/usr/bin/env bash
# Demonstrates the system with separate processes on loopback; exits with 1 if a check fails.
. "$(dirname "$0")/fleet.sh"
reset_work_dir
trap kill_all EXIT
failed=0
daemons="1 2 3 4 5 6 7 8"
backends="1 2 3 4 5 6"
entries=127.0.1.1:8080,127.0.1.2:8080,127.0.1.3:8080,127.0.1.4:8080

say() { printf '\n== %s\n' "$*"; }
check() { # text command...
  local text=$1
  shift
  if "$@" >/dev/null 2>&1; then
    echo "ok: $text"
  else
    echo "FAILED: $text"
    failed=1
  fi
}
# field prints a numeric field of a JSON summary, or 0 if the summary does not have it.
field() { sed -E "s/.*\"$2\":([0-9]+).*/\1/;t;s/.*/0/" <<<"$1"; }
load() { "$standin" load --entry "$entries" "$@"; }
all_ready() { for i in $daemons; do has_contact "$i" log && dump_contains "$i" '"version": [1-9]' || return 1; done; }
all_dumps_contain() { for i in $daemons; do dump_contains "$i" "$1" || return 1; done; }
all_members() { for i in $daemons; do dump_contains "$i" "\"members\": $1," || return 1; done; }

say "Start the platform, 6 backend servers and 8 daemons in 4 failure domains"
start platform "$standin" platform --listen 127.0.2.1:9000
for i in $backends; do start "b$i" "$standin" backend --listen "127.0.2.1$i:9001" --latency 10ms; done
wait_for 5 "$standin" get "$log/machines"
set_vm_list "$daemons" ""
for i in $daemons; do start_daemon "$i"; done
check "all daemons read the log and have a fleet map" wait_for 20 all_ready
check "all 8 daemons are members of the map" wait_for 20 all_members 8

say "Publish the configuration of team ledger"
"$proxy" config publish --log $log --team ledger --file "$root/examples/ledger.json" || failed=1
check "every daemon has applied it" wait_for 3 all_dumps_contain '"ledger": 1'
crew=$("$proxy" key create --log $log --team ledger --account pit-crew --name phone-1)
digger=$("$proxy" key create --log $log --team ledger --account digger --name phone-1)
check "every daemon has applied the keys" wait_for 3 all_dumps_contain '"ledger": 3'

say "An invalid document is rejected, with the position of each error"
printf '{\n  "clientAccounts": {"Pit": {"rate": 0, "burts": 5}},\n}\n' >"$work/bad.json"
"$proxy" check --document "$work/bad.json" 2>&1
[ $? = 2 ] || failed=1

say "Requests with a key are answered; requests without one are rejected"
sum=$(load --path /ledger/balance/7 --key "$crew" --rate 100 --for 2s)
echo "$sum"
check "all 200 were answered, each with the response to its own request" test "$(field "$sum" answered)$(field "$sum" wrong)" = 2000
sum=$(load --path /ledger/balance/7 --rate 10 --count 5)
echo "$sum"
check "none of 5 without a key was answered" test "$(field "$sum" answered)" = 0

say "Backend server 127.0.2.13 becomes 10 times slower, while its health checks still succeed"
"$standin" set http://127.0.2.13:9001/faults '{"slowFactor":10}'
sum=$(load --path /ledger/balance/7 --key "$crew" --rate 150 --for 3s)
echo "$sum"
is_ejected() { for i in $daemons; do dump "$i" | grep -A6 '"backendJudged"' | grep -A4 '127.0.2.13' | grep -q '"to": "ejected"' && return; done; return 1; }
check "its dispatcher ejected it" wait_for 3 is_ejected
for i in $daemons; do grep -h 'judged.*127.0.2.13' "$work/d$i.log" | grep threshold | head -1; done
check "all requests were answered" test "$(field "$sum" answered)" = 450
"$standin" set http://127.0.2.13:9001/faults '{}'

say "Client account digger (5 a second, burst 10) sends 5 times its rate"
sum=$(load --path /ledger/balance/7 --key "$digger" --rate 25 --for 4s)
echo "$sum"
n=$(field "$sum" answered)
check "no more were answered than burst and rate allow (34)" test "$n" -le 34
check "at least 24 of these were answered" test "$n" -ge 24

say "Two operators change team ledger concurrently"
"$proxy" config show --log $log ledger >"$work/one.json"
sed 's/"rate": 200/"rate": 210/' "$work/one.json" >"$work/two.json"
"$proxy" config publish --log $log --team ledger --file "$work/one.json" && first=0
"$proxy" config publish --log $log --team ledger --file "$work/two.json"
check "the second update is rejected as a conflict with the first" test "${first:-1}$?" = 03

say "The key of digger is withdrawn"
"$proxy" key withdraw --log $log --team ledger --account digger --name phone-1
check "every daemon has applied the withdrawal within 3 s" wait_for 3 all_dumps_contain '"ledger": 6'
sum=$(load --path /ledger/balance/7 --key "$digger" --rate 20 --count 20)
echo "$sum"
check "none of 20 was answered" test "$(field "$sum" answered)" = 0

say "A daemon is killed during dispatches that must run at most once"
load --path /ledger/dispatch/s --method POST --once --job sack --key "$crew" --rate 50 --for 4s >"$work/once.json" &
once=$!
sleep 1
signal_and_wait KILL d6
wait $once
sum=$(cat "$work/once.json")
echo "$sum"
twice=0
for i in $backends; do "$standin" get "http://127.0.2.1$i:9001/runs"; done >"$work/runs.json"
twice=$(grep -o '"sack[0-9]*":[0-9]*' "$work/runs.json" | awk -F: '{n[$1]+=$2} END {for (j in n) if (n[j] > 1) c++; print c+0}')
check "no dispatch ran twice" test "$twice" = 0
check "at least 180 of 200 were answered" test "$(field "$sum" answered)" -ge 180

say "A daemon is shut down gracefully under load"
load --path /ledger/balance/7 --key "$crew" --rate 100 --for 5s >"$work/stop.json" &
stop=$!
sleep 1
kill -TERM "${pids[d2]}"
wait "${pids[d2]}"
code=$?
unset "pids[d2]"
wait $stop
cat "$work/stop.json"
check "it exited with code 0" test $code = 0
check "all requests were answered" test "$(field "$(cat "$work/stop.json")" answered)" = 500

say "The log service is down"
"$standin" set "$log/faults" '{"outage":true}'
sleep 6
sum=$(load --path /ledger/balance/7 --key "$crew" --rate 100 --for 1s)
echo "$sum"
check "requests are answered without it" test "$(field "$sum" answered)" = 100
"$standin" set "$log/faults" '{}'

say "Keys stay in the daemons that received them from callers"
for i in 1 3 4 5 7 8; do dump "$i"; "$standin" get "http://127.0.1.$i:7070/metrics"; done >"$work/dumps" 2>&1
check "no log, dump or metric contains a key" bash -c "! grep -lq -e $crew -e $digger $work/*.log $work/dumps"
for i in $backends; do "$standin" get "http://127.0.2.1$i:9001/runs?text=$crew"; done >"$work/seen"
check "no backend server saw the key" bash -c "! grep -q '\"seen\":true' $work/seen"
check "no guarantee was violated" bash -c "! grep -q 'violation\|violated' $work/d*.log"

say "Stop everything"
signal_and_wait TERM d1 d3 d4 d5 d7 d8
[ $failed = 0 ] && echo "All checks passed." || echo "Some checks failed; the logs are in $work."
exit $failed
