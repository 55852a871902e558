#!/bin/sh
# Lays beside the sites of this folder what the bench wants there, from the kit given as the first argument:
#   sh deploy/sites/lay.sh ../given/kit
# Git ignores all of it.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
from=${1:?the folder of the kit}/sites
for file in real.json wire.json unlock.txt; do
    test -r "$from/$file" || { echo "lay.sh: $from/$file cannot be read" >&2; exit 2; }
    install -m 644 "$from/$file" "$here/$file"
done
