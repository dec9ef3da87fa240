import {
	afterEach, describe, expect, test,
} from 'vitest';
import {createWeightAges} from '../../src/decide/weights/create-weight-ages.js';
import {createWeightAgeTask} from '../../src/object-store/create-weight-age-task.js';
import {type PeerRpc} from '../../src/peers/peer-rpc.js';
import {sleep} from '../../src/util/sleep.js';

const now = (): number => performance.now();
const maxUsefulMs = 1200;

let task: ReturnType<typeof createWeightAgeTask> | undefined;

afterEach(() => {
	task?.stop();
});

/** Starts the task at a host whose engine has version 1; returns what happens. */
function startTask({recordedMs, readMs}: {readonly recordedMs: number | undefined; readonly readMs: number}) {
	const weightAges = createWeightAges({suspendAware: now, monotonic: now});
	const reads: number[] = [];
	const saved: string[] = [];
	weightAges.recordFound('m', 2, {confirmedAt: undefined, isPrompt: false});
	task = createWeightAgeTask({
		weightAges,
		record: {
			lacks: () => true,
			async save(model) {
				saved.push(model);
			},
			async read() {
				reads.push(now());
				await sleep(readMs);
				return recordedMs === undefined ? [] : [['m', 2, recordedMs]];
			},
		},
		isRecorder: () => true,
		listEngineWeights: () => [{
			id: 'i-0', address: '127.0.0.1:1', model: 'm', version: 1,
		}],
		readClock: async () => 5_000_000,
		areWeightsListed: () => true,
		maxUsefulMs: () => maxUsefulMs,
		listHosts: () => [],
		now,
		async call() {
			throw new Error('no host');
		},
		random: () => 0.5,
	});
	task.start();
	return {weightAges, reads, saved};
}

describe('a host that does not know for how long weights have been named', () => {
	// 84 hosts beside one engine that kept old weights would have gone on asking twice a second.
	test('asks no more once the age can\'t matter', async () => {
		const {reads} = startTask({recordedMs: undefined, readMs: 0});
		const startedAt = now();
		await sleep(maxUsefulMs * 2.5);
		expect(reads.length).toBeGreaterThan(0);
		expect(reads.filter(at => at - startedAt > maxUsefulMs * 1.5)).toEqual([]);
	});

	test.each([['at once', 0], ['slowly', 400]])('takes the age that the record states %s, with the time on the way', async (_name, readMs) => {
		const {weightAges, reads, saved} = startTask({recordedMs: 3000, readMs});
		await sleep(readMs + 600);
		expect(weightAges.getStaleForMs('m', 1)! - 3000).toBeGreaterThanOrEqual(now() - reads[0]! - 1);
		expect(saved).toContain('m');
	});
});
