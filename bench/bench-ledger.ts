import process from 'node:process';
import {createShardJournal} from '../src/commitments/create-shard-journal.js';
import {type PlatformObject} from '../src/platform/platform-object.js';
import {type Platform} from '../src/platform/platform.js';
import {computeSha256} from '../src/util/compute-sha256.js';
import {measureHeap} from './measure-heap.js';
import {printLinearFit} from './print-linear-fit.js';

/** Creates an in-memory platform that counts reads, writes and written bytes. */
function createCountingPlatform() {
	const objects = new Map<string, PlatformObject>();
	const counts = {reads: 0, writes: 0, bytes: 0};
	const platform: Platform = {
		async read(key) {
			counts.reads++;
			return objects.get(key);
		},
		async write(key, value, expected) {
			counts.writes++;
			counts.bytes += value.length;
			objects.set(key, {key, version: expected + 1, value});
			return expected + 1;
		},
		watch: async () => undefined,
		list: async () => [],
		hosts: async () => [],
	};
	return {platform, counts};
}

async function runCommitments(keys: number, batch: number) {
	const {platform, counts} = createCountingPlatform();
	const journal = createShardJournal({
		platform, slice: 0, responseRetentionMs: () => 0, pause: async () => undefined,
	});
	const before = process.cpuUsage();
	for (let at = 0; at < keys; at += batch) {
		const claims = Array.from({length: batch}, (_, index) => ({
			key: computeSha256(`key-${at + index}`), digest: computeSha256('body'), id: `0b9f7a4e-2f0d-4a53-9f0f-${String(at + index).padStart(12, '0')}`, holder: 'host-12/1700000000000',
		}));
		await Promise.all(claims.map(async claim => journal.claim(claim)));
		await Promise.all(claims.map(async claim => journal.settle({...claim, state: 'done', answer: {status: 200, contentType: 'application/json', body: '{"ok":true}'}})));
	}

	const {user, system} = process.cpuUsage(before);
	return {journal, counts, cpuUs: (user + system) / keys};
}

/** Measures the journal of a ledger shard. */
export async function benchLedger(): Promise<void> {
	const cpu: Array<readonly [number, number]> = [];
	const heap: Array<readonly [number, number]> = [];
	for (const keys of [2000, 4000, 8000, 16_000]) {
		let run: Awaited<ReturnType<typeof runCommitments>> | undefined;
		globalThis.gc?.();
		const before = process.memoryUsage().heapUsed;
		run = await runCommitments(keys, 20);
		globalThis.gc?.();
		heap.push([keys, process.memoryUsage().heapUsed - before]);
		cpu.push([keys, run.cpuUs]);
		run = undefined;
	}

	printLinearFit('heap of a shard with its stand-in platform, by keys', 'bytes', heap);
	printLinearFit('processor time per commitment, by keys of the shard', 'us', cpu);
	const batches: Array<readonly [number, number, number, number]> = [];
	for (const batch of [1, 5, 20, 80]) {
		const {counts} = await runCommitments(1600, batch);
		batches.push([batch, counts.writes / 1600, counts.reads / 1600, counts.bytes / 1600]);
	}

	printLinearFit('platform writes per commitment, by batch size', 'writes', batches.map(([batch, writes]) => [batch, writes] as const));
	printLinearFit('platform bytes per commitment, by batch size', 'bytes', batches.map(point => [point[0], point[3]] as const));
	measureHeap(() => undefined);
}
