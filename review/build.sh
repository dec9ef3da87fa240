#!/bin/sh
# Builds the stand-ins of the script, which stand beside it. They are plain modules for Node.js: nothing is compiled, each is only checked.
cd "$(dirname "$0")" || exit 1
for file in 4/*.js; do
	node --check "$file" || exit 1
done
