#!/usr/bin/env bash
# Demonstrates daemons on a platform with a metadata store, with separate processes on loopback; exits with 1 if
# a check fails.
. "$(dirname "$0")/fleet.sh"
mkdir -p "$work"
trap kill_all EXIT
failed=0
store=127.0.2.2:9100
check() { # text command...
  local text=$1
  shift
  if "$@" >/dev/null 2>&1; then echo "ok: $text"; else echo "FAILED: $text"; failed=1; fi
}
is_ready() { "$standin" get "http://127.0.4.$1:8406/jacinthproxy/ready"; }
all_ready() { for i in 1 2 3 4; do is_ready $i || return 1; done; }
ask() { "$standin" ask --entry "127.0.4.$1:8405" "${@:2}"; }
statuses_are() { [ "$(ask "$1" --path "$2" --key "$3" --count "$4")" = "$5" ]; }
run_counts() { "$standin" get "http://$store/runs"; }

start store "$standin" store --listen $store --settings "$work"
wait_for 5 "$standin" get "http://$store/runs"
for i in 1 2 3 4; do start "g$i" "$proxy" gateway --settings "$work/front-$i.json"; done
check "all daemons discover each other through the store and are ready" wait_for 20 all_ready
check "50 dispatches are answered" statuses_are 1 /dispatch/x demo 50 '{"200":50}'
check "requests with a wrong key are rejected" statuses_are 2 /dispatch/x wrong 5 '{"401":5}'
check "a request without a route is not found" statuses_are 3 /none/ demo 1 '{"404":1}'
explain() { JACINTHPROXY_KEY=$1 "$proxy" explain --operators 127.0.4.1:7661 --host ledger.example --path /balance/x; }
is_refused() { explain wrong | grep -q '^refused   401 unknown-key'; }
check "a request that would be answered is explained" explain demo
check "a request that would be refused is explained" is_refused
signal_and_wait KILL g1
check "the other daemons still answer after one was killed" statuses_are 2 /balance/x demo 50 '{"200":50}'
"$standin" set "http://$store/faults" '{"Away":true}'
check "while the store is down, keys are no longer accepted after at most 10 s (RevocationS is 5 s)" wait_for 10 statuses_are 3 /balance/x demo 1 '{"503":1}'
"$standin" set "http://$store/faults" '{"Away":false}'
check "when the store is back, keys are accepted again" wait_for 10 statuses_are 3 /balance/x demo 1 '{"200":1}'
kill -HUP "${pids[g4]}"
kill -TERM "${pids[g2]}"
check "a graceful shutdown exits with code 0" wait "${pids[g2]}"
check "the remaining daemons still answer" statuses_are 4 /balance/x demo 20 '{"200":20}'
echo "$(run_counts)"
check "nothing ran twice, and no backend server saw the key" grep -q '"keys":0.*"twice":0' <<<"$(run_counts)"
exit $failed
