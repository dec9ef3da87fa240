import {type Socket} from 'node:net';
import {sleep} from '../../src/util/sleep.js';
import {createUpstreamServer, type ReceivedRequest, type UpstreamServer} from './create-upstream-server.js';
import {findTestPorts} from './find-test-ports.js';
import {type ObjectStoreServer} from './create-object-store-server.js';
import {platformObjects} from './platform-objects.js';
import {respondWithVersion, type Version} from './versioned-streams.js';

/** An upstream that starts again under its id and address. */
export type RestartingUpstream = {
	readonly id: string;
	/** Writes its entry into the store. */
	readonly register: (store: ObjectStoreServer) => void;
	/** Ends, which breaks what is under way, and starts again after a time in milliseconds, with a software version. */
	readonly restart: (version: Version, downMs: number) => Promise<void>;
	/** Breaks what is under way, and goes on. */
	readonly breakOff: () => void;
	readonly stop: () => void;
};

let starts = 0;

/** Starts the stand-in. `says` tells whether its reports state when it started. */
export async function createRestartingUpstream(id: string, says: boolean): Promise<RestartingUpstream> {
	const [port] = await findTestPorts(1);
	let version: Version = 'v1';
	let born = 0;
	let server: UpstreamServer;
	let sockets = new Set<Socket>();

	const start = async (): Promise<void> => {
		born = 1_700_000_000_000 + starts++;
		const current = {version, born};
		sockets = new Set();
		server = await createUpstreamServer(port);
		server.answer = (received: ReceivedRequest, socket) => {
			if (received.target === '/v1/report') {
				const body = JSON.stringify({stage: 'both', ...says && {born: current.born}});
				socket.write(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
				return;
			}

			sockets.add(socket);
			respondWithVersion(current.version, received, socket);
		};
	};

	await start();
	return {
		id,
		register(store) {
			store.put('servers', id, platformObjects.upstream(server.address, {version, slots: 32, born}));
		},
		async restart(next, downMs) {
			server.stop();
			await sleep(downMs);
			version = next;
			await start();
		},
		breakOff() {
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}
		},
		stop() {
			server.stop();
		},
	};
}
