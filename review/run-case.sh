#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER NAME. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. Ends all processes that it started.
set -u
case_folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.."
[[ -x target/release/reach ]] || { echo "target/release/reach is missing: build it as deploy/system.toml says"; exit 2; }
[[ -x target/review/stand ]] || { echo "target/review/stand is missing: run review/build.sh"; exit 2; }
folder=$(mktemp -d)
child=
end() {
  [[ -n $child ]] && kill -TERM "$child" 2>/dev/null && wait "$child" 2>/dev/null
  # The program ends its processes itself; this is for the case that it was cut off.
  if [[ -f $folder/pids ]]; then
    while read -r pid; do
      [[ $(tr '\0' ' ' 2>/dev/null < "/proc/$pid/cmdline") == target/release/reach* ]] && kill -KILL "$pid" 2>/dev/null
    done < "$folder/pids"
  fi
  rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout --kill-after=1 115 target/review/stand "$2" "$case_folder/record.txt" "$folder" &
child=$!
wait "$child"
code=$?
child=
[[ $code == 0 || $code == 1 ]] || code=2
exit $code
