# Functions that run processes and clean up after them. Builds the programs. To be sourced from the top of the
# repository, with default_port set to the first port that is used if QUICKSTART_PORT is not set.

base="${QUICKSTART_PORT:-$default_port}"
dir="$(mktemp -d)"
bin="$dir/bin"
pids=()
declare -A pid_of=()

# clean_up stops all processes that were started, by id, and prints the end of their logs after a failure.
clean_up() {
  local code=$?
  trap - EXIT
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[$i]}" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  if [ "$code" -ne 0 ]; then
    echo "FAILED; the last lines of each log:"
    tail -n 15 "$dir"/*.log || true
  fi
  rm -rf "$dir"
  exit "$code"
}
trap clean_up EXIT
trap 'exit 1' INT TERM

# print_step prints the title of a step.
print_step() { printf '\n-- %s\n' "$1"; }

# start NAME COMMAND... runs a command in the background with its output in the log file of that name.
start() {
  local name="$1"
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pids+=("$!")
  pid_of[$name]=$!
}

# retry SECONDS COMMAND... repeats a command until it succeeds. It fails after the given seconds.
retry() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$limit" ]; then
      echo "timed out waiting for: $*"
      return 1
    fi
    sleep 0.2
  done
}

# contains TEXT COMMAND... succeeds if the output of a command, without spaces and line breaks, contains the text.
contains() {
  local text="$1" out
  shift
  out="$("$@" 2>/dev/null | tr -d ' \n')"
  [[ "$out" == *"$text"* ]]
}

# port N prints the port with offset N from the base.
port() { echo $((base + $1)); }

print_step "building the programs"
mkdir -p "$bin"
go build -o "$bin" ./cmd/sassafraswind ./cmd/standin ./cmd/load
began=$SECONDS
load="$bin/load"
