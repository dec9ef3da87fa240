import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const brokenCode = 1;
const couldNotRunCode = 2;

/**
Runs a case: writes what is recorded to `record.txt` in its folder, stops what it has started, and ends the process with 0 if the rule held, 1 if it was broken and
2 if the case could not run.

@param play - Plays the case; returns whether the rule held.
*/
export async function runCase(caseFolder, play) {
	const startedAt = performance.now();
	const lines = [];
	const stops = [];
	const record = line => {
		lines.push(JSON.stringify({ms: Math.round(performance.now() - startedAt), ...line}));
	};

	const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	let code = couldNotRunCode;
	try {
		const isKept = await play({
			record, folder, hasTrouble: process.env.TROUBLE !== '0', onStop(stop) {
				stops.push(stop);
			},
		});
		code = isKept ? 0 : brokenCode;
	} catch (error) {
		record({what: 'could not run', error: error.message});
	}

	record({what: 'exit', code});
	writeFileSync(path.join(caseFolder, 'record.txt'), `${lines.join('\n')}\n`);
	console.log(lines.slice(-2).join('\n'));
	for (const stop of stops) {
		stop();
	}

	if (process.env.KEEP === '1') {
		console.log(folder);
	} else {
		rmSync(folder, {recursive: true, force: true});
	}

	process.exit(code);
}
