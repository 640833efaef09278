#!/bin/sh
# run.sh CASE FOLDER: plays a case and writes FOLDER/record.txt. 0: the rule held, 1: it was broken, 2: the case couldn't
# run. TROUBLE=0 leaves the disruption out. Ends all processes that the case started.
cd "$(dirname "$0")/../.." || exit 2
case=$1 folder=$2
if [ ! -x target/review-2/standin ] || [ ! -x target/release/jayquayd ]; then
  echo "build the deploy file and review/build-2.sh first" >&2
  exit 2
fi
REVIEW_DIR=$(mktemp -d) || exit 2
export REVIEW_DIR
finish() {
  if [ -f "$REVIEW_DIR/pids" ]; then
    while read -r pid; do
      # Only processes of this case: their command line names its temporary folder.
      if tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -qF "$REVIEW_DIR"; then kill -KILL "$pid" 2>/dev/null; fi
    done <"$REVIEW_DIR/pids"
  fi
  rm -rf "$REVIEW_DIR"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout -k 5 112 target/review-2/standin "$case" target/release/jayquayd "$folder/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
