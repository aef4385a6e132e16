#!/usr/bin/env bash
# Plays the case of claim.txt; see there. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out. Needs the build of deploy/service.toml and
# review/build-2.sh.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
world=target/review-2/world
[ -x "$world" ] || { echo "$world is missing: run review/build-2.sh"; exit 2; }
run="$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)"
[ -n "$run" ] || { echo "deploy/service.toml has no command"; exit 2; }
folder="$(mktemp -d)" || exit 2
# The stand-ins and the controllers that they start form a process group, which ends with this script.
set -m
# shellcheck disable=SC2086
"$world" queue "$here/record.txt" "$folder" "${TROUBLE:-1}" $run &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM
wait "$group"
code=$?
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
