/**
Runs the bundled program in this directory from the V8 code cache that was written at build time, because start-up time is part of a
host's recovery time. If this version of V8 or its flags do not match the cache, V8 compiles the source instead.

With `--write-code-cache` as first argument, runs the program with the remaining arguments, and writes a code cache of the functions
compiled so far when it ends, which is after a limited time.
*/
const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const {createRequire, wrap} = require('node:module');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

const filename = path.join(__dirname, 'program.cjs');
const cacheFile = path.join(__dirname, 'program.code-cache');
/** Longer than a rehearsal. */
const maxRunMs = 30_000;
const isWritingCache = process.argv[2] === '--write-code-cache';
const cachedData = !isWritingCache && existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
const script = new Script(wrap(readFileSync(filename, 'utf8')), {filename, cachedData});

if (isWritingCache) {
	process.argv.splice(2, 1);
	setTimeout(() => {
		process.exit(0);
	}, maxRunMs);
	process.on('exit', () => {
		writeFileSync(cacheFile, script.createCachedData());
	});
}

const programModule = {exports: {}};
script.runInThisContext()(programModule.exports, createRequire(filename), programModule, filename, __dirname);
