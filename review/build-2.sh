#!/usr/bin/env bash
# Prepares what the scripts of the second review start. The stand-ins are Python programs without
# dependencies, so there is nothing to compile; the routers come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"'
python3 -B - <<'PROGRAM'
import pathlib
for one in sorted(pathlib.Path("review").glob("stand_ins*/*.py")) + sorted(pathlib.Path("review").glob("[4-8]/*.py")) + sorted(pathlib.Path("review").glob("findings_2/*/*.py")):
    compile(one.read_text(), str(one), "exec")
PROGRAM
[ -x target/bin/ferryroad-platform ] || { echo "target/bin/ferryroad-platform is missing: run the build of deploy/system.toml" >&2; exit 1; }
