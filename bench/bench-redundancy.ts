import process from 'node:process';
import {simulateRedundancy} from '../src/replay/simulate-redundancy.js';

const arrivalCount = 400_000;

const publishedReductions = [9.5, 18.17, 26.25, 33.94, 41.44, 48.95, 56.75, 65.28, 75.44];

/** Reproduces Table 1 of the paper on cancel-on-start, then relaxes its assumptions one at a time. */
export function benchRedundancy(): void {
	for (const [index, percent] of publishedReductions.entries()) {
		const load = (index + 1) / 10;
		const [one, two] = [1, 2].map(copiesPerJob => simulateRedundancy({
			copiesPerJob, load, seed: 100 + index, arrivalCount,
		}));
		const reduction = 100 * (1 - (two! / one!));
		const means = `E(N) d=1 ${one!.toFixed(2)}, d=2 ${two!.toFixed(2)}`;
		process.stdout.write(`load ${load}: ${means}, reduction ${reduction.toFixed(2)}% (published ${percent}%, difference ${(reduction - percent).toFixed(2)})\n`);
	}

	const bimodal = (random: () => number): number => random() < 0.9 ? 0.4 : 6.4;
	const departures = [
		['as in the paper', {}],
		['message delay of 0.01 service times', {messageDelay: 0.01}],
		['message delay of 0.1 service times', {messageDelay: 0.1}],
		['service times of 0.4 and 6.4', {drawServiceTime: bimodal}],
	] as const;
	for (const [name, options] of departures) {
		const numbers = [0.5, 0.7, 0.9].map(load => [1, 2, 3].map(copiesPerJob => simulateRedundancy({
			copiesPerJob, load, seed: 200, arrivalCount, ...options,
		}).toFixed(2)).join(' / '));
		process.stdout.write(`${name}: E(N) for d = 1 / 2 / 3 at loads 0.5, 0.7, 0.9: ${numbers.join('; ')}\n`);
	}
}
