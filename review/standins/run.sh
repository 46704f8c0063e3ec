#!/usr/bin/env bash
# Plays the case in the given folder: run.sh FOLDER.
set -u
folder=$(cd "$1" && pwd)
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$(dirname "$(readlink -f "$0")")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
exec python3 "$folder/case.py" "$folder/record.txt"
