#!/bin/sh
# Plays the case; with `TROUBLE=0` the policy allows the first worker instead of the last.
cd "$(dirname "$0")" && exec node case.mjs
