#!/usr/bin/env bash
# run-case.sh CASE FOLDER: plays a scripted case and writes FOLDER/record.txt. Exit status: 0 the rule held, 1 it was
# broken, 2 the case could not run. TROUBLE=0 leaves the disruption out. Ends every process that the case started.
set -u
cd "$(dirname "$0")/.." || exit 2
case=$1; folder=$2
daemon=target/release/jayquayd; standin=target/review/standin
for program in "$daemon" "$standin"; do
  [ -x "$program" ] || { echo "missing: $program (build the deploy file and review/build.sh first)" >&2; exit 2; }
done
REVIEW_DIR=$(mktemp -d) || exit 2
export REVIEW_DIR
finish() {
  if [ -f "$REVIEW_DIR/pids" ]; then
    while read -r pid; do
      # Only processes of this case are ended: their command line holds its temporary folder.
      if tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -qF "$REVIEW_DIR"; then kill -KILL "$pid" 2>/dev/null; fi
    done <"$REVIEW_DIR/pids"
  fi
  [ -n "${KEEP:-}" ] || rm -rf "$REVIEW_DIR"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout -k 5 112 "$standin" "$case" "$daemon" "$folder/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
tail -n 3 "$folder/record.txt" 2>/dev/null
exit "$code"
