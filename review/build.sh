#!/usr/bin/env bash
# Checks what the scripts need: the libraries and packages of the deploy file's build, and the
# stand-ins, which are Python files and are only compiled.
set -euo pipefail
cd "$(dirname "$0")"
test -d ../target/deps/bergamotcart_platform || {
  echo 'run the build of deploy/system.toml first' >&2
  exit 1
}
export PYTHONPATH=../target/deps
python3 -c 'import aiohttp'
python3 -m compileall -q lib [0-9]*/case.py
