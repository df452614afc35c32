#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are Python and use its standard library alone, so all there is to
# do is to check that they compile, without leaving files behind. The programs come from the deploy file's build.
set -eu
cd "$(dirname "$0")"
python3 - common/*.py [0-9]*/*.py <<'P'
import sys
for path in sys.argv[1:]:
    try:
        with open(path) as file:
            compile(file.read(), path, "exec")
    except FileNotFoundError:
        pass
P
for program in dewbeam-gateway dewbeam-registrar dewbeam-rank; do
    [ -x "../target/bin/$program" ] || { echo "target/bin/$program is missing: run the deploy file's build first" >&2; exit 2; }
done
