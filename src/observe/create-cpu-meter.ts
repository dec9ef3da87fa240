/** One run in this many is measured, and counts for all of them, since reading the processor time costs a system call. */
const sampling = 16;
const usPerS = 1e6;

/** Options of `createCpuMeter`. */
type CpuMeterOptions = {
	/** Returns the processor time of the process, in microseconds. */
	readonly readCpuUs: () => number;
	/** Adds processor time of a job, in seconds. */
	readonly add: (job: string, seconds: number) => void;
};

/** Measures the processor time of jobs. */
export type CpuMeter = <A extends readonly unknown[], R>(job: string, run: (...args: A) => R) => (...args: A) => R;

/** Creates the meter. It measures what a function takes until it returns, without what goes on later; jobs within a measured job count for both. */
export function createCpuMeter({readCpuUs, add}: CpuMeterOptions): CpuMeter {
	return (job, run) => {
		let runs = 0;
		return (...args) => {
			runs++;
			if (runs % sampling !== 1) {
				return run(...args);
			}

			const startUs = readCpuUs();
			try {
				return run(...args);
			} finally {
				add(job, (readCpuUs() - startUs) * sampling / usPerS);
			}
		};
	};
}
