import process from 'node:process';

/** What one point of a bench cost. */
export type CpuCost = {
	/** Processor time in microseconds for each repetition. */
	readonly cpuUs: number;
};

/** Measures the processor time of `step`, repeated `count` times after a warm-up. */
export function measureCpu(count: number, step: (index: number) => void): CpuCost {
	for (let index = 0; index < Math.min(count, 200); index++) {
		step(index);
	}

	const before = process.cpuUsage();
	for (let index = 0; index < count; index++) {
		step(index);
	}

	const {user, system} = process.cpuUsage(before);
	return {cpuUs: (user + system) / count};
}
