#!/usr/bin/env bash
# Shows the system at work with separate processes on loopback, and fails if a step does not come true.
. "$(dirname "$0")/fleet.sh"
clean
trap halt_all EXIT
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
# field reads a number from a summary.
field() { sed -E "s/.*\"$2\":([0-9]+).*/\1/;t;s/.*/0/" <<<"$1"; }
load() { "$standin" load --entry "$entries" "$@"; }
all_ready() { for i in $daemons; do ready "$i" log && dump_has "$i" '"version": [1-9]' || return 1; done; }
all_have() { for i in $daemons; do dump_has "$i" "$1" || return 1; done; }
all_members() { for i in $daemons; do dump_has "$i" "\"members\": $1," || return 1; done; }

say "Start the platform, 6 backend servers and 8 daemons in 4 failure domains"
start platform "$standin" platform --listen 127.0.2.1:9000
for i in $backends; do start "b$i" "$standin" backend --listen "127.0.2.1$i:9001" --latency 10ms; done
await 5 "$standin" get "$log/machines"
machines "$daemons" ""
for i in $daemons; do daemon "$i"; done
check "all daemons are in contact and share a fleet map" await 20 all_ready
check "all 8 daemons are members of the map" await 20 all_members 8

say "Publish the configuration of team ledger"
"$proxy" config publish --log $log --team ledger --file "$root/examples/ledger.json" || failed=1
check "it is in force on every daemon" await 3 all_have '"ledger": 1'
crew=$("$proxy" key create --log $log --team ledger --account pit-crew --name phone-1)
digger=$("$proxy" key create --log $log --team ledger --account digger --name phone-1)
check "the keys are in force on every daemon" await 3 all_have '"ledger": 3'

say "A bad document is refused with the place of each finding"
printf '{\n  "clientAccounts": {"Pit": {"rate": 0, "burts": 5}},\n}\n' >"$work/bad.json"
"$proxy" check --document "$work/bad.json" 2>&1
[ $? = 2 ] || failed=1

say "Requests with a key are answered; without one they are refused"
sum=$(load --path /ledger/balance/7 --key "$crew" --rate 100 --for 2s)
echo "$sum"
check "all 200 were answered, each with its own answer" test "$(field "$sum" answered)$(field "$sum" wrong)" = 2000
sum=$(load --path /ledger/balance/7 --rate 10 --count 5)
echo "$sum"
check "none of 5 without a key ran" test "$(field "$sum" answered)" = 0

say "Backend server 127.0.2.13 becomes 10 times slower, while its health still answers well"
"$standin" set http://127.0.2.13:9001/faults '{"slowFactor":10}'
sum=$(load --path /ledger/balance/7 --key "$crew" --rate 150 --for 3s)
echo "$sum"
ejected() { for i in $daemons; do dump "$i" | grep -A6 '"backendJudged"' | grep -A4 '127.0.2.13' | grep -q '"to": "ejected"' && return; done; return 1; }
check "its dispatcher ejected it" await 3 ejected
for i in $daemons; do grep -h 'judged.*127.0.2.13' "$work/d$i.log" | grep threshold | head -1; done
check "all requests were answered" test "$(field "$sum" answered)" = 450
"$standin" set http://127.0.2.13:9001/faults '{}'

say "Client account digger (5 a second, burst 10) sends 5 times its rate"
sum=$(load --path /ledger/balance/7 --key "$digger" --rate 25 --for 4s)
echo "$sum"
n=$(field "$sum" answered)
check "it got no more than burst and rate allow (34)" test "$n" -le 34
check "it got nearly all of that" test "$n" -ge 24

say "Two operators change team ledger at once"
"$proxy" config show --log $log ledger >"$work/one.json"
sed 's/"rate": 200/"rate": 210/' "$work/one.json" >"$work/two.json"
"$proxy" config publish --log $log --team ledger --file "$work/one.json" && first=0
"$proxy" config publish --log $log --team ledger --file "$work/two.json"
check "the second is told that the first came before" test "${first:-1}$?" = 03

say "The key of digger is withdrawn"
"$proxy" key withdraw --log $log --team ledger --account digger --name phone-1
check "it is refused everywhere within 3 s" await 3 all_have '"ledger": 6'
sum=$(load --path /ledger/balance/7 --key "$digger" --rate 20 --count 20)
echo "$sum"
check "none of 20 ran" test "$(field "$sum" answered)" = 0

say "A daemon is killed while dispatches run, each to run at most once"
load --path /ledger/dispatch/s --method POST --once --job sack --key "$crew" --rate 50 --for 4s >"$work/once.json" &
once=$!
sleep 1
halt KILL d6
wait $once
sum=$(cat "$work/once.json")
echo "$sum"
twice=0
for i in $backends; do "$standin" get "http://127.0.2.1$i:9001/runs"; done >"$work/runs.json"
twice=$(grep -o '"sack[0-9]*":[0-9]*' "$work/runs.json" | awk -F: '{n[$1]+=$2} END {for (j in n) if (n[j] > 1) c++; print c+0}')
check "no dispatch ran twice" test "$twice" = 0
check "nearly all were answered" test "$(field "$sum" answered)" -ge 180

say "A daemon is stopped as planned under load"
load --path /ledger/balance/7 --key "$crew" --rate 100 --for 5s >"$work/stop.json" &
stop=$!
sleep 1
kill -TERM "${pids[d2]}"
wait "${pids[d2]}"
code=$?
unset "pids[d2]"
wait $stop
cat "$work/stop.json"
check "it ended with code 0" test $code = 0
check "all requests were answered" test "$(field "$(cat "$work/stop.json")" answered)" = 500

say "The log service goes away"
"$standin" set "$log/faults" '{"outage":true}'
sleep 6
sum=$(load --path /ledger/balance/7 --key "$crew" --rate 100 --for 1s)
echo "$sum"
check "requests are served without it" test "$(field "$sum" answered)" = 100
"$standin" set "$log/faults" '{}'

say "No key ever left the daemons that callers gave it to"
for i in 1 3 4 5 7 8; do dump "$i"; "$standin" get "http://127.0.1.$i:7070/metrics"; done >"$work/dumps" 2>&1
check "no log, dump or metric holds a key" bash -c "! grep -lq -e $crew -e $digger $work/*.log $work/dumps"
for i in $backends; do "$standin" get "http://127.0.2.1$i:9001/runs?text=$crew"; done >"$work/seen"
check "no backend server saw the key" bash -c "! grep -q '\"seen\":true' $work/seen"
check "no guarantee was violated" bash -c "! grep -q 'violation\|violated' $work/d*.log"

say "Stop everything"
halt TERM d1 d3 d4 d5 d7 d8
[ $failed = 0 ] && echo "Every step came true." || echo "Some steps did not come true; the logs are in $work."
exit $failed
