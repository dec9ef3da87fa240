import {createUpstreamServer, type UpstreamServer} from './create-upstream-server.js';
import {type ObjectStoreServer} from './create-object-store-server.js';
import {platformObjects} from './platform-objects.js';
import {respondWithVersion, type Version} from './versioned-streams.js';

type Upstream = {readonly id: string; readonly version: Version; readonly server: UpstreamServer};

/** Upstreams of both versions, and what a release does to them. */
export function createRelease() {
	const upstreams: Upstream[] = [];
	let refusalDelayMs: number | undefined;
	/** Writes the entry of each upstream; one that is there already stays as it is. */
	const register = (store: ObjectStoreServer): void => {
		for (const [index, {id, version, server}] of upstreams.entries()) {
			store.put('servers', id, platformObjects.upstream(server.address, {version, slots: 32, born: 1_700_000_000_001 + index}));
		}
	};

	const add = async (store: ObjectStoreServer, version: Version): Promise<void> => {
		const server = await createUpstreamServer();
		server.answer = (received, socket) => {
			if (refusalDelayMs !== undefined && version === 'v1' && received.headers.has('last-event-id')) {
				const id = received.headers.get('request-id');
				setTimeout(() => socket.write(`HTTP/1.1 503 Full\r\nRequest-Id: ${id}\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n`), refusalDelayMs);
				return;
			}

			respondWithVersion(version, received, socket);
		};

		upstreams.push({id: `i-${upstreams.length}`, version, server});
		register(store);
	};

	const addBoth = async (store: ObjectStoreServer, version: Version): Promise<void> => {
		await add(store, version);
		await add(store, version);
	};

	const removeOld = (store: ObjectStoreServer): readonly Upstream[] => {
		const old = upstreams.filter(({version}) => version === 'v1');
		for (const {id} of old) {
			store.remove('servers', id);
		}

		return old;
	};

	/** Upstreams of the first version take no new work, and stay listed. */
	const leaveOld = (store: ObjectStoreServer): void => {
		for (const [index, {id, version, server}] of upstreams.entries()) {
			if (version === 'v1') {
				store.put('servers', id, platformObjects.upstream(server.address, {
					version, slots: 32, born: 1_700_000_000_001 + index, state: 'draining',
				}));
			}
		}
	};

	return {
		register,
		leaveOld,
		prepare: async (store: ObjectStoreServer) => addBoth(store, 'v1'),
		releases: {
			async added(store: ObjectStoreServer) {
				await addBoth(store, 'v2');
			},
			async replaced(store: ObjectStoreServer) {
				await addBoth(store, 'v2');
				removeOld(store);
			},
			async 'old ones gone'(store: ObjectStoreServer) {
				await addBoth(store, 'v2');
				for (const {server} of removeOld(store)) {
					server.stop();
				}
			},
			async none() {
				// One version everywhere.
			},
		},
		removeOld,
		/** Upstreams of the first version refuse streams that are taken up, after a time in milliseconds. */
		setRefusing(delayMs: number) {
			refusalDelayMs = delayMs;
		},
		stop() {
			for (const {server} of upstreams) {
				server.stop();
			}
		},
	};
}

/** What a release does to the upstreams. */
export type ReleaseName = keyof ReturnType<typeof createRelease>['releases'];
