# Functions of the scripts in review/: they start the programs of the deploy file as separate
# processes with settings in a temporary folder, and end them by their process IDs.

set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
CASE_DIR=$1
DIR=$(mktemp -d)
declare -A PIDS=()
WATCHERS=()

# end_all ends every process that the script has started.
end_all() {
  for pid in "${WATCHERS[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  for pid in $(cat "$DIR/pids" 2>/dev/null); do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$DIR"
}
trap end_all EXIT

# start NAME PROGRAM SETTINGS starts a program of the system, with the limit of descriptors of a
# machine of kth-mesh.
start() {
  (ulimit -n 4100; CHICORYLEVER_NODE_FILE=$DIR/$3 exec "$2") >>"$DIR/$1.log" 2>&1 &
  PIDS[$1]=$!
  echo $! >>"$DIR/pids"
  disown $!
}

# start_system CORE SIDE writes the settings and starts all programs.
start_system() {
  for program in target/rig2 target/platform-control target/platform-node; do
    [ -x "$program" ] || { echo "$program is missing"; exit 2; }
  done
  target/rig2 plan "$DIR" "$1" "$2" || exit 2
  for i in $(seq "$1"); do start "core-$i" target/platform-control "core-$i.json"; done
  for i in $(seq "$2"); do start "side-$i" target/platform-node "side-$i.json"; done
}

# watch_memory NAME PROGRAM SETTINGS LIMIT_MB does what the platform does to a process: it kills one
# that uses more memory than its machine has, and starts one that has ended again after half a
# second with the settings for later starts. It counts private memory only (RssAnon).
watch_memory() {
  local name=$1 program=$2 settings=$3 limit=$(($4 * 1024)) pid=${PIDS[$1]} used
  while :; do
    used=$(awk '/^RssAnon/ {print $2}' "/proc/$pid/status" 2>/dev/null)
    if [ -n "$used" ] && [ "$used" -le "$limit" ]; then
      sleep 0.1
      continue
    fi
    echo "$(date +%T) $name ends with ${used:-no} kB of private memory" >>"$DIR/ends.txt"
    kill -KILL "$pid" 2>/dev/null
    sleep 0.5
    start "$name" "$program" "$settings"
    pid=${PIDS[$name]}
  done
}
