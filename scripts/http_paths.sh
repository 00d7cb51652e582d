#!/usr/bin/env bash
# Compares relays on three sets of libraries with the bare backend server,
# all in one run on loopback.
set -eu
cd "$(dirname "$0")/.."
PY=${VENV:-.venv}/bin/python
export PYTHONPATH=src
pids=()
trap 'kill "${pids[@]}"' EXIT
"$PY" -m teaselrock.bench.http_paths_backend --port 18200 & pids+=($!)
variants=(httptools aiohttp cheroot)
# Optional: pip install teaselrock[bench].
if "$PY" -c 'import uvloop' 2>/dev/null; then
    variants+=(httptools:uvloop)
fi
port=18201
for variant in "${variants[@]}"; do
    "$PY" -m teaselrock.bench.http_paths relay --variant ${variant%:*} \
        --loop $([[ $variant == *:uvloop ]] && echo uvloop || echo asyncio) \
        --listen 127.0.0.1:$port --target 127.0.0.1:18200 & pids+=($!)
    port=$((port + 1))
done
"$PY" -m teaselrock gateway --config scripts/http_paths_gateway.json \
    2>/dev/null & pids+=($!)
sleep 3
for ((round = 1; round <= ${ROUNDS:-2}; round++)); do
    for rate in 100 300; do
        echo "round $round: bare ${variants[*]} gateway"
        for port in $(seq 18200 $((18200 + ${#variants[@]}))) 18206; do
            "$PY" -m teaselrock.bench.http_paths load --bearer bench \
                --target 127.0.0.1:$port --rate $rate --seconds "${SECONDS_EACH:-4}"
        done
    done
done
