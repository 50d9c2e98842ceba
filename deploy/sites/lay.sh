#!/bin/sh
# Lays the bench's own files beside the deployments here, for as long as they are played: git ignores them.
# Usage: deploy/sites/lay.sh DIRECTORY, one that holds real.json, wire.json and unlock.txt.
set -eu
here=$(dirname "$0")
for name in real.json wire.json unlock.txt; do
    cp -f "${1:?a directory is wanted}/$name" "$here/$name"
    chmod u+w "$here/$name"
done
