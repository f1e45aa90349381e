# Functions that the scripts of the cases share. A script sets `case_folder`, works in the
# repository's root and ends with `finish_case`.

stand_ins=build-review/stand_ins/waxwingwing_stand_ins
tool=build-review/review_tool
# The command of deploy/system.toml.
program=(target/waxwingwing entry)
trouble=${TROUBLE:-1}
work=$(mktemp -d)
record=$case_folder/record.txt
started=()

end_processes() {
  trap - EXIT INT TERM
  for pid in "${started[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait "${started[@]}" 2>/dev/null
  rm -rf "$work"
}
trap end_processes EXIT
trap 'exit 2' INT TERM

# The case could not run.
give_up() {
  echo "not run: $*" | tee -a "$record"
  tail -n 3 "$work"/*.out 2>/dev/null | cut -c1-300 >>"$record"
  exit 2
}

note() { echo "$*" | tee -a "$record"; }

# start NAME COMMAND...: starts a process; its output goes to $work/NAME.out, its id to $pid.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>&1 &
  pid=$!
  started+=("$pid")
}

# Waits until a process has printed the address on which it listens; puts it into $address.
read_address() {
  for _ in $(seq 100); do
    address=$(grep -om1 '127\.0\.0\.1:[0-9]*' "$work/$1.out")
    [ -n "$address" ] && return
    sleep 0.05
  done
  give_up "$1 does not listen"
}

# start_server NAME COMMAND...: starts a stand-in that prints its address; sets $pid and $address.
start_server() {
  start "$@"
  read_address "$1"
}

start_store() {
  start_server store "$stand_ins" store
  store=$address
}

write_configuration() { "$tool" append "$store" keyed.op config || give_up "no configuration"; }

# start_entry NAME: starts an entry VM with the settings of a small deployment; sets $pid, and the
# addresses $caller_address and $ready_address.
start_entry() {
  local name=$1 link
  mapfile -t addresses < <("$tool" addresses 3)
  caller_address=${addresses[0]}
  ready_address=${addresses[1]}
  link=${addresses[2]##*:}
  cat >"$work/$name.json" <<END
{"node_name": "$name", "role": "entry", "machine_class": "front", "serves": ["front"],
 "ip": "127.0.0.1", "zone": "ifo", "region": "ogun-west", "zones": {"ifo": "ogun-west"},
 "listen": {"front": "$caller_address", "ready": "$ready_address"},
 "port_range": [$link, $link], "seeds": [], "bootstrap": true, "in_tolerance": false,
 "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
            "link_mbps": 1000.0, "disk_mb": 0},
 "data_dir": null, "discovery": "platform", "entry": "vip", "heartbeat_ms": 300,
 "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
 "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
            "catchup_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
            "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
            "strict_revoke": true, "revoke_ms": 5000, "retry_ratio": 0.2,
            "retry_window_s": 10, "retry_slack": 136, "cold_over": 1.5, "cold_slack": 5,
            "evacuate_ms": 5000, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0,
            "stall_ms": 6000, "require_fence": false, "ceiling_window_s": 5,
            "ceiling_over": 1.1},
 "platform": {"addr": "$store", "form": "log", "writes_per_s": 400, "reads_per_s": 2000,
              "parts": 4, "append_ms": 2.0, "part_mb_s": 20.0, "read_mb_s": 80.0,
              "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200,
              "ttl_min_ms": 1000}}
END
  WAXWINGWING_SETTINGS=$work/$name.json start "$name" "${program[@]}"
}

wait_ready() { "$tool" wait_ready "$1" 20 || give_up "the entry VM at $1 is not ready"; }

# route NAME PREFIX TYPE SERVICE MORE: a route of the configuration.
route() {
  echo "{\"name\": \"$1\", \"host\": \"desk.example\", \"path_prefix\": \"$2\"," \
    "\"type\": \"$3\", \"service\": \"$4\", \"timeout_ms\": 4000, \"goal_ms\": 400," \
    "\"priority\": 1, \"attempts\": 2, \"anonymous\": false $5}"
}

# configuration VERSION TENANTS
configuration() {
  cat <<END
{"version": $1,
 "routes": [$(route stream /stream/ streaming pool ', "can_resume": true, "sticky": true'),
            $(route once /once/ non_idempotent desk ''),
            $(route lookup /lookup/ idempotent desk '')],
 "services": [{"name": "pool", "health_path": "/healthz", "max_conns": 354, "cold_s": 3.0,
               "cold_per_s": 26.0,
               "engine": {"slots": 26, "models": [{"name": "large", "size": 3, "share": 1.0}]}},
              {"name": "desk", "health_path": "/healthz", "max_conns": 110, "cold_s": 0.0,
               "cold_per_s": 0.0}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
 "tenants": $2}
END
}

one_tenant='[{"name": "first", "api_keys": ["key-1"], "priority": 1}]'

# start_runners FLAGS...: starts six model runners; fills runner_pid and runner_address.
declare -A runner_pid runner_address
start_runners() {
  for i in 0 1 2 3 4 5; do
    start_server "runner-$i" "$tool" model_runner --id="runner-$i" --store="$store" \
      --record="$work/runner-$i.record" "$@"
    runner_pid[$i]=$pid
    runner_address[$i]=$address
  done
}

# Waits for an open group; puts the numbers of its head and its last member into $head and $member,
# and its name into $open_group.
find_open_group() {
  for _ in $(seq 100); do
    head='' member=''
    for i in "${!runner_address[@]}"; do
      read -r rank state group < <("$tool" report "${runner_address[$i]}") || continue
      [ "$rank $state" = '0 open' ] && head=$i open_group=$group
    done
    for i in "${!runner_address[@]}"; do
      read -r rank state group < <("$tool" report "${runner_address[$i]}") || continue
      [ -n "$head" ] && [ "$rank $group" = "2 $open_group" ] && member=$i
    done
    [ -n "$member" ] && return
    sleep 0.1
  done
  give_up 'no group was opened'
}

# Judges the rule TWO by what the runners have recorded, and ends the script.
judge_joins() {
  sort -n "$work"/runner-*.record >"$work/all.record"
  grep -v ' run ' "$work/all.record" >>"$record"
  # A join of another group counts while the head of the runner's group is open.
  local violations
  violations=$(awk '
    $3 == "head_state" { state[$4] = $5 }
    $3 == "join" && $6 != "none" && $6 != $4 && state[$6] == "open" {
      print "at " $1 " us " $2 " takes a join of " $4 " while the head of " $6 " is open"
    }' "$work/all.record")
  [ -z "$violations" ] &&
    finish_case 0 'held: no runner took a join of another group while its head was open'
  note "$violations"
  finish_case 1 'broken: TWO'
}

# finish_case STATUS TEXT: writes the verdict and ends the script.
finish_case() {
  note "$2"
  exit "$1"
}

[ -x "${program[0]}" ] && [ -x "$stand_ins" ] && [ -x "$tool" ] ||
  { echo "build deploy/system.toml and review/build.sh first" >&2; rm -rf "$work"; exit 2; }
date -u +'%F %T, trouble='"$trouble" >"$record"
