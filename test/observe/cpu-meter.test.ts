import {describe, expect, test} from 'vitest';
import {createCpuMeter} from '../../src/observe/create-cpu-meter.js';

describe('the processor time of a job', () => {
	test.each([
		['one run of 100 us', 1, 1600],
		['sixteen runs of 100 us', 16, 1600],
		['thirty-two runs of 100 us', 32, 3200],
		['no run', 0, 0],
	])('is a sample of its runs: %s', (_, runs, expectedUs) => {
		let cpuUs = 0;
		const seconds = new Map<string, number>();
		const meter = createCpuMeter({
			readCpuUs: () => cpuUs,
			add(job, added) {
				seconds.set(job, (seconds.get(job) ?? 0) + added);
			},
		});
		const run = meter('placement', (text: string) => {
			cpuUs += 100;
			return text;
		});
		expect(Array.from({length: runs}, () => run('x')).every(text => text === 'x')).toBe(true);
		expect(Math.round((seconds.get('placement') ?? 0) * 1e6)).toBe(expectedUs);
	});

	test('counts also where the job fails', () => {
		let cpuUs = 0;
		let added = 0;
		const meter = createCpuMeter({
			readCpuUs: () => cpuUs,
			add(_, seconds) {
				added += seconds;
			},
		});
		const run = meter('reports', () => {
			cpuUs += 10;
			throw new TypeError('internal');
		});
		expect(run).toThrow(TypeError);
		expect(added).toBeGreaterThan(0);
	});
});
