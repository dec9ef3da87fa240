/**
Runs the bundled program beside this file with the code that V8 compiled when the bundle was made, since a host's start is part of
its recovery. Where the compiled code does not fit this V8 or its flags, V8 compiles anew.

Called with `--write-code-cache` first, it runs the program with the arguments that follow for a moment, ends it, and writes the code that was
compiled by then.
*/
const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const {createRequire, wrap} = require('node:module');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

const filename = path.join(__dirname, 'program.cjs');
const cacheFile = path.join(__dirname, 'program.code-cache');
/** By then a host has loaded all modules and tried to reach its store. */
const cacheWriteDelayMs = 1500;
const isWritingCache = process.argv[2] === '--write-code-cache';
const cachedData = !isWritingCache && existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
const script = new Script(wrap(readFileSync(filename, 'utf8')), {filename, cachedData});

if (isWritingCache) {
	process.argv.splice(2, 1);
	setTimeout(() => {
		process.exit(0);
	}, cacheWriteDelayMs);
	process.on('exit', () => {
		writeFileSync(cacheFile, script.createCachedData());
	});
}

const programModule = {exports: {}};
script.runInThisContext()(programModule.exports, createRequire(filename), programModule, filename, __dirname);
