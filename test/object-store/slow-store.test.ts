import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {createObjectStore} from '../../platform/create-object-store.js';
import {createObjectWatcher} from '../../src/object-store/create-object-watcher.js';
import {type ObjectWatcher} from '../../src/object-store/object-watcher.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {waitUntil} from '../support/wait-until.js';

const kinds = ['configuration', 'upstreams', 'weights'];
const waitMs = 50;

let server: ObjectStoreServer;
let store: ReturnType<typeof createObjectStore>;
let watchers: readonly ObjectWatcher[];

beforeEach(async () => {
	server = await createObjectStoreServer();
	for (const kind of kinds) {
		server.put(kind, 'main', {version: 1});
	}

	store = createObjectStore(server.address, {onCall: () => undefined, recordEpoch: epoch => epoch ?? 0});
	watchers = kinds.map(kind => createObjectWatcher({
		kind, store, now: () => performance.now(), random: () => 0, waitMs: () => waitMs, isWatching: () => true, onChange: () => undefined,
	}));
});

afterEach(async () => {
	for (const watcher of watchers) {
		watcher.stop();
	}

	await store.stop();
	server.stop();
});

const readVersions = (): readonly unknown[] => watchers.map(watcher => (watcher.state()?.objects[0]?.value as {version: number} | undefined)?.version);

/** Hosts stopped following the store for good once it had been slow: the time allowed for a watch was no whole number, which was refused before each call. */
test.each([
	['once', [250]],
	['longer each time', [210, 330, 470]],
	['for so long that watches time out', [700, 450]],
])('all kinds of objects are followed again after the store was slow %s', async (_name, delaysMs) => {
	await waitUntil('the first version', () => readVersions().every(version => version === 1));
	let version = 1;
	for (const delayMs of delaysMs) {
		server.faults.responseDelayMs = delayMs;
		const slowUntil = performance.now() + (4 * (delayMs + waitMs));
		await waitUntil('the end of the slow time', () => performance.now() > slowUntil);
		server.faults.responseDelayMs = 0;
		version++;
		for (const kind of kinds) {
			server.put(kind, 'main', {version});
		}

		await waitUntil(`version ${version}`, () => readVersions().every(known => known === version));
	}

	expect(readVersions()).toEqual(kinds.map(() => version));
});
