#!/bin/sh
# Builds the stand-ins of the scripts. They are plain modules for Node.js, in support/: nothing is compiled, each is only checked.
cd "$(dirname "$0")" || exit 1
for file in support/*.js [0-9]/*.js; do
	node --check "$file" || exit 1
done
