import {write as writeFile} from 'node:fs';

const bufferedLines = 4000;
const batchMs = 20;

/**
Creates a writer of log lines that never blocks: lines are written in batches in the background, and dropped and counted
where the reader falls behind.

@param fd - File descriptor to write to.
*/
export function createBoundedWriter(fd: number): (line: string) => void {
	let lines: string[] = [];
	let dropped = 0;
	let isWriting = false;
	let timer: NodeJS.Timeout | undefined;

	const writeAll = (bytes: Buffer): void => {
		writeFile(fd, bytes, (error, written) => {
			const hasRest = !error && written < bytes.length;
			if (hasRest || (error)?.code === 'EAGAIN') {
				const rest = hasRest ? bytes.subarray(written) : bytes;
				setTimeout(() => {
					writeAll(rest);
				}, hasRest ? 0 : batchMs);
				return;
			}

			isWriting = false;
			plan();
		});
	};

	const flush = (): void => {
		timer = undefined;
		const notice = dropped > 0 ? [JSON.stringify({message: 'log lines dropped', dropped})] : [];
		const text = `${[...lines, ...notice].join('\n')}\n`;
		lines = [];
		dropped = 0;
		isWriting = true;
		writeAll(Buffer.from(text));
	};

	const plan = (): void => {
		if (!isWriting && timer === undefined && lines.length > 0) {
			timer = setTimeout(flush, batchMs);
		}
	};

	return line => {
		if (lines.length >= bufferedLines) {
			dropped++;
			return;
		}

		lines.push(line);
		plan();
	};
}
