import {describe, expect, test} from 'vitest';
import {createCollectorSelector} from '../../src/decide/collecting/create-collector-selector.js';

const hosts = ['h-0', 'h-1', 'h-2', 'h-3'].map((host, index) => ({host, linkMbps: index < 2 ? 200 : 10}));
const self = {host: 'h-9', linkMbps: 10};
const highBandwidth = new Set(['h-0', 'h-1']);

/** Chooses a collector every 100 ms for `durationMs`; a chosen host sends its collected reports if it is in `reporting`. */
function chooseRepeatedly(selector: ReturnType<typeof createCollectorSelector>, reporting: ReadonlySet<string>, fromMs: number, durationMs: number): readonly string[] {
	const chosen: string[] = [];
	for (let now = fromMs; now < fromMs + durationMs; now += 100) {
		const host = selector.choose(hosts, now);
		chosen.push(host);
		if (reporting.has(host)) {
			selector.recordReport(host, now);
		}
	}

	return chosen;
}

describe('the collector of reports', () => {
	test('has high bandwidth, is the same at every host, and stays while its reports arrive', () => {
		const [first, second] = ['h-8', 'h-9'].map(host => chooseRepeatedly(createCollectorSelector({host, linkMbps: 10}, 'd'), highBandwidth, 0, 5000));
		expect(new Set(first).size).toBe(1);
		expect(highBandwidth).toContain(first![0]);
		expect(second).toEqual(first);
	});

	test('is excluded when it sends nothing, and tried again at increasing intervals', () => {
		const selector = createCollectorSelector(self, 'd');
		const [first] = chooseRepeatedly(selector, highBandwidth, 0, 100);
		const others = new Set([...highBandwidth].filter(host => host !== first));
		const chosen = chooseRepeatedly(selector, others, 100, 40_000);
		const tried = chosen.flatMap((host, index) => host === first && chosen[index - 1] !== first ? [index] : []);
		expect(tried.length).toBeLessThanOrEqual(5);
		expect(chosen.filter(host => host === first).length).toBeLessThan(0.1 * chosen.length);
	});

	test('is this host when no other host sends collected reports', () => {
		const chosen = chooseRepeatedly(createCollectorSelector(self, 'd'), new Set(), 0, 4000);
		expect(chosen).toContain(self.host);
	});
});
