#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
binary=target/release/sassafrasproxy
standin=target/review-2/standin-2
[ -x "$binary" ] && [ -x "$standin" ] || exit 2
folder=$(mktemp -d) || exit 2
finish() {
    # Gateways that are left if the stand-in was ended; each is checked to be one of this run.
    for pid in $(cat "$folder/pids" 2>/dev/null); do
        if grep -qz "SASSAFRASPROXY_CONFIG=$folder/" "/proc/$pid/environ" 2>/dev/null; then
            kill -KILL "$pid"
        fi
    done
    rm -rf "$folder"
}
trap finish EXIT
timeout 110 "$standin" leaving-callers "$binary" "$folder" "$here/record.txt" "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
