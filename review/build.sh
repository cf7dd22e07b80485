#!/usr/bin/env bash
# The stand-ins are Python of the standard library: building them means to check that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in */*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -d ../target/deps || { echo "build the deploy file first" >&2; exit 1; }
