#!/usr/bin/env bash
# Plays the case in the given folder: run.sh FOLDER. Exits with 0 if the rule held, with 1 if it
# was broken, and with 2 in every other case.
set -u
folder=$(cd "$1" && pwd)
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$(dirname "$(readlink -f "$0")")"
python3 "$folder/case.py" "$folder/record.txt" &
case=$!
trap 'kill "$case" 2>/dev/null' TERM INT
wait "$case"
code=$?
if [ "$code" -gt 128 ]; then
  wait "$case"
  code=$?
fi
case "$code" in
  0) exit 0 ;;
  101) exit 1 ;;
  *) exit 2 ;;
esac
