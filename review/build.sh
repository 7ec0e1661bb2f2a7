#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they need Python 3.11 and what the deploy file's build has
# put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
