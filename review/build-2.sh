#!/bin/sh
# Run once from any folder, after the build line of deploy/balancer.toml. The stand-ins of cases 6 to 10 are
# Python files beside the cases; there is nothing to build but their byte code.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q martenlead review
.venv/bin/python -c "import anyio, httptools, msgspec, uvloop, structlog, _jsonnet"
