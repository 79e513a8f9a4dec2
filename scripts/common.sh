# Functions of scripts/quickstart and scripts/faults: two availability zones on loopback, with two entry hosts and three
# stand-in workers each, and the platform's stand-ins. To be sourced from the top of the repository, with default_port
# set to the first port that is used if QUICKSTART_PORT is not set.

. scripts/processes.sh

# callers_address N and operators_url N print the addresses of entry host N for callers and operators.
callers_address() { echo "127.0.0.1:$(port $((100 + 10 * $1)))"; }
operators_url() { echo "http://127.0.0.1:$(port $((101 + 10 * $1)))"; }

# run_operator runs an operator's command against entry host 1.
run_operator() { "$bin/sassafraswind" --operators "$(operators_url 1)" "$@"; }

# write_entry_settings N ZONE writes the settings of entry host N. Callers use port base+100+10N, operators the next one
# and peers the one after that.
write_entry_settings() {
  local p=$((100 + 10 * $1))
  cat >"$dir/entry-$1.json" <<JSON
{
  "host": "$2-$1", "zone": "$2", "region": "north",
  "callers": {"listen": "127.0.0.1:$(port $p)"},
  "operators": {"listen": "127.0.0.1:$(port $((p + 1)))"},
  "peers": {"listen": "127.0.0.1:$(port $((p + 2)))", "seeds": ["127.0.0.1:$(port 112)", "127.0.0.1:$(port 132)"]},
  "platform": {"log": "http://127.0.0.1:$(port 0)", "hosts": "http://127.0.0.1:$(port 1)"},
  "drain": "500ms",
  "zones": [{"name": "zone-a", "region": "north"}, {"name": "zone-b", "region": "north"}],
}
JSON
}

# The host list has four entry hosts and six workers.
{
  echo "["
  for n in 1 2 3 4; do
    zone=zone-a
    [ "$n" -le 2 ] || zone=zone-b
    write_entry_settings "$n" "$zone"
    echo "{\"id\":\"$zone-$n\",\"kind\":\"entry\",\"zone\":\"$zone\",\"region\":\"north\",\"address\":\"127.0.0.1:$(port $((102 + 10 * n)))\"},"
  done
  for n in 0 1 2; do
    echo "{\"id\":\"zone-a-w$n\",\"kind\":\"worker\",\"zone\":\"zone-a\",\"region\":\"north\",\"rack\":\"a\",\"service\":\"desk\",\"address\":\"127.0.0.1:$(port $((20 + n)))\"},"
    echo "{\"id\":\"zone-b-w$n\",\"kind\":\"worker\",\"zone\":\"zone-b\",\"region\":\"north\",\"rack\":\"b\",\"service\":\"desk\",\"address\":\"127.0.0.1:$(port $((30 + n)))\"},"
  done
  echo "]"
} >"$dir/hosts.json"

cat >"$dir/classes.json" <<JSON
{
  "classes": [
    {"name": "check", "kind": "urgent", "idempotent": true, "size": {"cores": 500, "memory": 256}, "run": "20ms", "target": {"answer": "250ms"}},
    {"name": "quote", "kind": "urgent", "size": {"cores": 500, "memory": 256}, "run": "20ms", "target": {"answer": "1s"}},
    {"name": "plan", "kind": "batch", "size": {"cores": 1000, "memory": 1024}, "run": "1s", "target": {"finished": 1000, "disruption": 10}},
  ],
  "teams": [{"name": "demo", "quota": {"cores": 192000, "memory": 600000}}],
}
JSON

# start_all starts the stand-ins and the entry hosts, and waits until the entry hosts are ready.
start_all() {
  print_step "starting the platform's stand-ins: log, host list, three workers in each zone"
  start log "$bin/standin" log --listen "127.0.0.1:$(port 0)"
  start hosts "$bin/standin" hosts --listen "127.0.0.1:$(port 1)" --file "$dir/hosts.json"
  start workers-a "$bin/standin" workers --port "$(port 20)" --count 3 --zone zone-a --region north --admin "127.0.0.1:$(port 40)"
  start workers-b "$bin/standin" workers --port "$(port 30)" --count 3 --zone zone-b --region north --admin "127.0.0.1:$(port 41)"

  print_step "starting four entry hosts, two in each zone"
  for n in 1 2 3 4; do
    "$bin/sassafraswind" check "$dir/entry-$n.json"
    start "entry-$n" "$bin/sassafraswind" serve --settings "$dir/entry-$n.json"
  done
  for n in 1 2 3 4; do
    retry 20 contains '"ready":true' "$bin/sassafraswind" --operators "$(operators_url "$n")" --json status
  done
  echo "all four entry hosts are ready"
}
