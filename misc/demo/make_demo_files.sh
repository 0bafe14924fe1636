#!/usr/bin/env bash
# Writes the settings of the demo's daemons and the manifest of both deployments into the folder given.
set -euo pipefail
folder=$1
ctl=$2

# write_settings NAME ZONE CALLER_PORT OPERATOR_PORT
write_settings() {
    cat > "$folder/$1.toml" <<EOF
[host]
name = "$1"
zone = "$2"

[listen]
callers = "127.0.0.1:$3"
operators = "127.0.0.1:$4"

[platform]
log = "127.0.0.1:17000"
usage = "127.0.0.1:17000"

[configuration]
poll_ms = 200

[usage]
flush_ms = 300

[history]
interval_ms = 500

[stop]
notice_ms = 300
EOF
}

write_settings entry-a1 pl-a 18001 19001
write_settings entry-a2 pl-a 18002 19002
write_settings entry-b1 pl-b 18003 19003

for organisation in geodezja-polska rtk-rovers yard-foremen accounts-desk; do
    "$ctl" key create "$organisation" > "$folder/key-$organisation.json"
done
key_entry() { sed -E 's/.*"keys":\{(.*)\}\}\}$/\1/' "$folder/key-$1.json"; }

cat > "$folder/manifest.json" <<EOF
{
  "settings": {"billing": {"window_seconds": 3600}},
  "zones": {"pl-a": {"region": "pl-central"}, "pl-b": {"region": "pl-central"}},
  "organisations": {
    "geodezja-polska": {"weight": 4, "when_cut_off": "serve"},
    "rtk-rovers": {"weight": 1},
    "yard-foremen": {"weight": 2},
    "accounts-desk": {"weight": 1, "tokens_per_window": 100000}
  },
  "keys": {
    $(key_entry geodezja-polska),
    $(key_entry rtk-rovers),
    $(key_entry yard-foremen),
    $(key_entry accounts-desk)
  },
  "models": {"ionosphere": {"version": "7"}, "kiln": {"version": "3"}},
  "routes": {
    "map-read": {"service": "map-app", "path_prefix": "/maps", "methods": ["GET"], "idempotent": true},
    "map-subscribe": {"service": "map-app", "path_prefix": "/subscriptions", "methods": ["POST"]},
    "map-status": {"service": "map-app", "path_prefix": "/public", "methods": ["GET"], "idempotent": true, "open": true},
    "dispatch": {"service": "dispatch-app", "path_prefix": "/dispatches", "methods": ["POST"]}
  },
  "backend_servers": {
    "engine-a1": {"zone": "pl-a", "address": "127.0.0.1:17101", "model": "ionosphere", "checks_fencing": true},
    "engine-b1": {"zone": "pl-b", "address": "127.0.0.1:17102", "model": "ionosphere"},
    "engine-a2": {"zone": "pl-a", "address": "127.0.0.1:17103", "model": "kiln"},
    "map-app-a": {"zone": "pl-a", "address": "127.0.0.1:17201", "service": "map-app"},
    "map-app-b": {"zone": "pl-b", "address": "127.0.0.1:17202", "service": "map-app"},
    "dispatch-app-a": {"zone": "pl-a", "address": "127.0.0.1:17203", "service": "dispatch-app"}
  }
}
EOF
