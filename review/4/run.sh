#!/bin/sh
# Plays the case; `TROUBLE=0` leaves out what can never run.
cd "$(dirname "$0")" && exec node case.mjs
