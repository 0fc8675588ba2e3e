#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
record=$PWD/record.txt
cd ../.. || exit 2
[[ -x target/oriolecourse && -x target/review/rig ]] || { echo 'build first: the deploy file, then review/build.sh' >&2; exit 2; }
trouble=true
if [[ ${TROUBLE:-1} == 0 ]]; then trouble=false; fi
exec timeout -k 2 118 target/review/rig -case pipelined -trouble=$trouble -record "$record"
