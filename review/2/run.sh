#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
if [ ! -f ../../target/samphirepin.cjs ]; then
    echo "build the deploy file first" >&2
    exit 2
fi
node play.mjs &
player=$!
trap 'kill "$player"; wait "$player"; exit 2' TERM INT
wait "$player"
case $? in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
