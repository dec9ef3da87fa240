// Guards against docs/incidents/streams-after-the-death-of-all-hosts.md.
import {describe, expect, test} from 'vitest';
import {createEpochTracker} from '../../src/object-store/create-epoch-tracker.js';
import {type StoredObject} from '../../src/object-store/stored-object.js';
import {createStreamArchive} from '../../src/streams/create-stream-archive.js';
import {sleep} from '../../src/util/sleep.js';

/** Longer than the time between two writes. */
const pauseMs = 400;

/** Creates a store whose next writes fail or get no answer, as `faults` says of each. */
function createStore(faults: Array<'fails' | 'is done, not answered' | undefined>) {
	const objects = new Map<string, StoredObject>();
	let revision = 0;
	const write = async (name: string, value: unknown): Promise<StoredObject> => {
		const fault = faults.shift();
		if (fault === 'fails') {
			throw new Error('no answer');
		}

		const stored = {
			name, value, revision: ++revision, epoch: 1,
		} as unknown as StoredObject;
		objects.set(name, stored);
		if (fault !== undefined) {
			throw new Error('no answer');
		}

		return stored;
	};

	return {
		list: async () => ({objects: [...objects.values()], epoch: 1}) as never,
		read: async (_kind: string, name: string) => objects.get(name),
		create: async (_kind: string, name: string, value: unknown) => objects.has(name) ? undefined : write(name, value),
		replace: async (_kind: string, name: string, value: unknown, known: {readonly revision: number}) =>
			objects.get(name)?.revision === known.revision ? write(name, value) : undefined,
	};
}

type Store = ReturnType<typeof createStore>;

const openArchive = (store: Store, host: string, hosts = 1) => createStreamArchive({
	host, store, kind: 'streams', retentionMs: 60_000, countHosts: () => hosts, random: () => 0, onVersions: () => undefined,
	epochs: createEpochTracker(() => performance.now()), isInStep: () => true,
});

describe('begun streams are in the store', () => {
	test.each([
		['one write', [], [['a', 'b']]],
		['two writes', [], [['a'], ['b']]],
		['after a write that failed', ['fails'], [['a']]],
		['after a write that was done and not answered', ['is done, not answered'], [['a']]],
		['after writes that failed while others began', ['fails', 'is done, not answered', 'fails'], [['a'], ['b'], ['c']]],
	] as const)('%s', async (_name, faults, batches) => {
		const store = createStore([...faults]);
		const writer = openArchive(store, 'host-1');
		await writer.waitUntilRead(1000);
		for (const ids of batches) {
			for (const id of ids) {
				writer.add(id, 'app', 'v1');
			}

			await sleep(pauseMs);
		}

		await sleep(pauseMs * faults.length);
		writer.stop();
		const reader = openArchive(store, 'host-2');
		await reader.waitUntilRead(1000);
		const ids = batches.flat();
		expect(await Promise.all(ids.map(async id => reader.lookUp(id)))).toEqual(ids.map(() => 'v1'));
		reader.stop();
	});
});

describe('a host that stops', () => {
	test.each([
		['nothing to write', 195, [], []],
		['the first streams', 195, ['a'], []],
		['streams that came just after a write', 195, ['a'], ['b', 'c']],
		['streams that came just after a write, in a small fleet', 2, ['a'], ['b']],
	] as const)('has stored the streams that it began: %s', async (_name, hosts, first, later) => {
		const store = createStore([]);
		const writer = openArchive(store, 'host-1', hosts);
		await writer.waitUntilRead(1000);
		for (const id of first) {
			writer.add(id, 'app', 'v1');
		}

		await sleep(20);
		for (const id of later) {
			writer.add(id, 'app', 'v1');
		}

		await writer.flush(1000);
		writer.stop();
		const reader = openArchive(store, 'host-2');
		await reader.waitUntilRead(1000);
		const ids = [...first, ...later];
		expect(await Promise.all(ids.map(async id => reader.lookUp(id)))).toEqual(ids.map(() => 'v1'));
		reader.stop();
	});

	test('stops in time where the store takes nothing', async () => {
		const store = createStore(Array.from({length: 200}, () => 'fails' as const));
		const writer = openArchive(store, 'host-1');
		await writer.waitUntilRead(1000);
		writer.add('a', 'app', 'v1');
		await writer.flush(50);
		writer.stop();
		expect(await openArchive(store, 'host-2').lookUp('a')).toBeUndefined();
	});
});

describe('the versions that serve', () => {
	const toListed = (versions: readonly string[]): ReadonlyMap<string, ReadonlySet<string>> => new Map([['app', new Set(versions)]]);

	test.each([
		['one version', ['v1'], ['v1'], ['v1', 'v1', true]],
		['a version that joins another one', ['v1'], ['v2', 'v1'], ['v1', 'v1', true]],
		['a version in place of another one', ['v1'], ['v2'], [undefined, 'v2', true]],
		['several from the start', ['v2', 'v1'], ['v1', 'v2'], ['v2', 'v2', false]],
	] as const)('are found in the order in which the store took them, at a host that starts after the first ones: %s', async (_name, first, later, expected) => {
		const store = createStore([]);
		const writer = openArchive(store, 'host-1');
		await writer.waitUntilRead(1000);
		writer.recordListed(toListed(first));
		await sleep(pauseMs);
		const reader = openArchive(store, 'host-2');
		await reader.waitUntilRead(1000);
		writer.recordListed(toListed(later));
		await sleep(pauseMs);
		reader.recordListed(toListed(later));
		await sleep(pauseMs);
		expect([reader.findOldest('app'), reader.findOldestListed('app'), reader.isFromBefore('app')]).toEqual(expected);
		expect([writer.findOldest('app'), writer.findOldestListed('app')]).toEqual(expected.slice(0, 2));
		writer.stop();
		reader.stop();
	});

	test('are not known where the store has none', async () => {
		const archive = openArchive(createStore([]), 'host-1');
		await archive.waitUntilRead(1000);
		expect([archive.findOldest('app'), archive.findOldestListed('app'), archive.isFromBefore('app')]).toEqual([undefined, undefined, false]);
		archive.stop();
	});
});
