#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps"
exec timeout 120 python3 review/4/scenario.py
