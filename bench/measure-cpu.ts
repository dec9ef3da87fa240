import process from 'node:process';

/** Cost of one repetition of a measured step. */
export type CpuCost = {
	/** Processor time per repetition in microseconds. */
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
