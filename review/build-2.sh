#!/bin/sh
# Builds the stand-ins of the scripts in review/6, 7, 9 and 10. They are Python programs, which need
# no build: this checks that the interpreter runs them, and that the program under test is built.
cd "$(dirname "$0")/.." || exit 2
python3 -m py_compile review/standin-2/platform.py review/standin-2/harness.py \
  review/6/run.py review/7/run.py review/9/run.py review/10/run.py || exit 1
test -x target/jobd/sesamepick-jobd || {
  echo "target/jobd/sesamepick-jobd is missing: run the build of the deploy file first" >&2
  exit 1
}
