#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be imported. They are Python
# and use what the build of the deploy file has put under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -c '
import aiohttp
import buckthornhold.standins.users_clouds
import buckthornhold.standins.users_platforms
'
