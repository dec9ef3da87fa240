import process from 'node:process';
import {ROARR} from 'roarr';

/** Sends log lines to `write`, by default to standard output. */
export function setLogOutput(write: (line: string) => void = line => process.stdout.write(`${line}\n`)): void {
	ROARR.write = write;
}
