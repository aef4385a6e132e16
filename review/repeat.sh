#!/usr/bin/env bash
# Plays a case several times: repeat.sh CASE [TIMES]. Prints the exit codes.
cd "$(dirname "$0")" || exit 2
for _ in $(seq "${2:-5}"); do
  "./$1/run.sh" > /dev/null 2>&1
  echo "case $1 TROUBLE=${TROUBLE:-1} exit code $?"
done
