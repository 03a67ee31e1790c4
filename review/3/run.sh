#!/usr/bin/env bash
# Plays the case once; TROUBLE=0 plays it without the disruption. Needs the build of the deploy file.
cd "$(dirname "$0")" && exec python3 -B case.py
