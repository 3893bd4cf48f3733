#!/usr/bin/env bash
# VARIANT=gang and VARIANT=hopeless play the other scripts of the case.
# TROUBLE=0 plays the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec timeout --kill-after=3 118 python3 "play${VARIANT:+_$VARIANT}.py"
