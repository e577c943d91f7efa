#!/usr/bin/env bash
# Lays beside our own site files what the bench reads there; git ignores it. Usage: deploy/sites/lay.sh [KIT]
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
kit=${1:-$here/../../../given/kit}
for file in sites/real.json sites/wire.json sites/unlock.txt; do
    if [[ ! -f $kit/$file ]]; then
        echo "error: $kit/$file is missing; the acceptance runs need the operators' kit (give its folder as KIT)" >&2
        exit 1
    fi
done
for file in real.json wire.json unlock.txt; do
    install -m 644 "$kit/sites/$file" "$here/$file"
done
echo "laid real.json, wire.json and unlock.txt in $here"
