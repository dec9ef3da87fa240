import {write as writeFile} from 'node:fs';
import {getTickDelayMs} from '../util/get-tick-delay-ms.js';

/** Lines beyond this many in the buffer are dropped. */
const maxBufferedLines = 4000;
const batchIntervalMs = 100;

/**
Creates a writer of log lines that never blocks: lines are written in batches in the background. While the reader
falls behind and the buffer is full, lines are dropped and counted.

@param fd - File descriptor to write to.
*/
export function createBoundedWriter(fd: number): (line: string) => void {
	let lines: string[] = [];
	let dropped = 0;
	let isWriting = false;
	let timer: NodeJS.Timeout | undefined;

	const writeAll = (bytes: Buffer): void => {
		writeFile(fd, bytes, (error, written) => {
			// EAGAIN means that the pipe is full; the write is tried again after a pause.
			const isPartialWrite = !error && written < bytes.length;
			if (isPartialWrite || (error)?.code === 'EAGAIN') {
				const remaining = isPartialWrite ? bytes.subarray(written) : bytes;
				setTimeout(() => {
					writeAll(remaining);
				}, isPartialWrite ? 0 : batchIntervalMs);
				return;
			}

			isWriting = false;
			scheduleFlush();
		});
	};

	const flush = (): void => {
		timer = undefined;
		const dropNotice = dropped > 0 ? [JSON.stringify({message: 'log lines dropped', dropped})] : [];
		const text = `${[...lines, ...dropNotice].join('\n')}\n`;
		lines = [];
		dropped = 0;
		isWriting = true;
		writeAll(Buffer.from(text));
	};

	const scheduleFlush = (): void => {
		if (!isWriting && timer === undefined && lines.length > 0) {
			timer = setTimeout(flush, getTickDelayMs(performance.now(), batchIntervalMs));
		}
	};

	return line => {
		if (lines.length >= maxBufferedLines) {
			dropped++;
			return;
		}

		lines.push(line);
		scheduleFlush();
	};
}
