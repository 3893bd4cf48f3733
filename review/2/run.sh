#!/usr/bin/env bash
# VARIANT=gang and VARIANT=hopeless play the other scripts of the case.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec timeout --kill-after=3 118 python3 "play${VARIANT:+_$VARIANT}.py"
