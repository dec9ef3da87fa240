import process from 'node:process';

/** Measures the heap that the result of `create` retains, in bytes. */
export function measureHeap<T>(create: () => T): {readonly bytes: number; readonly value: T} {
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	const value = create();
	globalThis.gc?.();
	return {bytes: process.memoryUsage().heapUsed - before, value};
}
