#!/usr/bin/env bash
# TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standins/run.sh" "$here"
