#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start; all of them use those of review/6/kit. They are plain modules of Node.js: nothing
# is compiled, their syntax is checked.
cd "$(dirname "$0")/.." || exit 2
for file in review/6/kit/*.js review/[6-9]/*.js review/10/*.js; do
	[ -f "$file" ] || continue
	node --check "$file" || exit 1
done
