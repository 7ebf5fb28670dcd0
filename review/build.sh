#!/bin/sh
# The stand-ins are plain modules of Node.js, so there is nothing to compile; this checks that each can be read.
set -eu
cd "$(dirname "$0")"
for file in *.mjs [1-3]/*.mjs; do
    node --check "$file"
done
