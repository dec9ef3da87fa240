#!/bin/bash
# Checks the stand-ins of the cases 11 to 15. They are plain modules for Node.js, so there is nothing to compile or bundle; the deploy file builds the program.
cd "$(dirname "$0")/.." || exit 2
for file in review/11/cluster/*.mjs review/1[1-5]/*.mjs; do
	if [ -e "$file" ]; then
		node --check "$file" || exit 1
	fi
done
