#!/usr/bin/env bash
# Shows daemons on a platform with a metadata store, as separate processes on loopback.
. "$(dirname "$0")/fleet.sh"
mkdir -p "$work"
trap halt_all EXIT
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
answers() { [ "$(ask "$1" --path "$2" --key "$3" --count "$4")" = "$5" ]; }
run_counts() { "$standin" get "http://$store/runs"; }

start store "$standin" store --listen $store --settings "$work"
await 5 "$standin" get "http://$store/runs"
for i in 1 2 3 4; do start "g$i" "$proxy" gateway --settings "$work/front-$i.json"; done
check "all daemons find each other through the store and are ready" await 20 all_ready
check "50 dispatches are answered" answers 1 /dispatch/x demo 50 '{"200":50}'
check "without the key they are refused" answers 2 /dispatch/x wrong 5 '{"401":5}'
check "what has no route is not found" answers 3 /none/ demo 1 '{"404":1}'
halt KILL g1
check "the others go on without one" answers 2 /balance/x demo 50 '{"200":50}'
"$standin" set "http://$store/faults" '{"Away":true}'
check "with the store away, keys end within their bound" await 10 answers 3 /balance/x demo 1 '{"503":1}'
"$standin" set "http://$store/faults" '{"Away":false}'
check "with the store back, they are accepted again" await 10 answers 3 /balance/x demo 1 '{"200":1}'
kill -HUP "${pids[g4]}"
kill -TERM "${pids[g2]}"
check "a planned stop ends with code 0" wait "${pids[g2]}"
check "the last ones still serve" answers 4 /balance/x demo 20 '{"200":20}'
echo "$(run_counts)"
check "nothing ran twice, and no backend server saw the key" grep -q '"keys":0.*"twice":0' <<<"$(run_counts)"
exit $failed
