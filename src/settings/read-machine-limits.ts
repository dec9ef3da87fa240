import {readFileSync} from 'node:fs';
import process from 'node:process';
import {getHeapStatistics} from 'node:v8';

const bytesPerMiB = 1024 * 1024;
/** A host's heap is limited to three fifths of the smallest machine (96 of 160 MB), so a machine has at least this multiple of it. */
const memoryPerHeapByte = 5 / 3;
/** Assumed where the system states no limit. */
const defaultDescriptors = 4096;

/** What the machine gives to this process. */
type MachineLimits = {
	readonly memoryBytes: number;
	readonly descriptors: number;
};

function readDescriptorLimit(): number {
	try {
		const limit = Number(/^Max open files\s+(\d+)/mv.exec(readFileSync('/proc/self/limits', 'utf8'))?.[1]);
		return limit > 0 ? limit : defaultDescriptors;
	} catch {
		// Not on Linux.
		return defaultDescriptors;
	}
}

/**
Returns the stated limits of the machine; by default, what follows from the limit of the heap, and the descriptors that the system allows the process.
What is stated holds also where the system shows less: on machines whose sockets are not kept in the process's table, it shows those for files only.
*/
export function readMachineLimits(stated: {readonly memoryMb?: number | undefined; readonly maxFds?: number | undefined}): MachineLimits {
	const constrained = process.constrainedMemory();
	const assumed = Math.min(getHeapStatistics().heap_size_limit * memoryPerHeapByte, constrained > 0 ? constrained : Number.POSITIVE_INFINITY);
	return {
		memoryBytes: stated.memoryMb === undefined ? assumed : stated.memoryMb * bytesPerMiB,
		descriptors: stated.maxFds ?? readDescriptorLimit(),
	};
}
