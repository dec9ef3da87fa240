import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';

type Entry = readonly [scope: string, part: string, tokens: number, model: string];

/** A stand-in for a managed KV cache store: it serves listings and events and frees parts on request, but never evicts. */
export type KvStoreServer = {
	readonly address: string;
	/** Adds a complete part and publishes its event. */
	readonly save: (scope: string, part: string, tokens: number) => void;
	/** Simulates a restart: the boot epoch increases and the complete parts and events are lost. */
	readonly restart: () => void;
	/** Adds a complete part without publishing an event. */
	readonly saveWithoutEvent: (scope: string, part: string, tokens: number) => void;
	/** Adds a part whose save was interrupted. */
	readonly savePartially: (scope: string, part: string, tokens: number) => void;
	readonly parts: () => readonly string[];
	/** Keys of the parts whose saves have not completed. */
	readonly unfinished: () => readonly string[];
	/** Number of polls and listings received. */
	readonly calls: () => number;
	/** Number of listings received. */
	readonly listingCount: () => number;
	isUnresponsive: boolean;
	readonly stop: () => void;
};

const listingDelayMs = 5;

/** Starts the stand-in on a free port. */
export async function createKvStoreServer(): Promise<KvStoreServer> {
	let epoch = 1;
	let nextEventNumber = 1;
	let calls = 0;
	let listingRequests = 0;
	let completeParts = new Map<string, Entry>();
	const unfinishedParts = new Map<string, readonly [scope: string, part: string, done: number, reserved: number]>();
	let events: Array<readonly [number, '+' | '-', string, string, number, string]> = [];
	const recordEvent = (sign: '+' | '-', [scope, part, tokens, model]: Entry): void => {
		events.push([nextEventNumber++, sign, scope, part, tokens, model]);
	};

	const server = createServer((req, res) => {
		let requestBody = '';
		req.on('data', chunk => {
			requestBody += String(chunk);
		});
		req.on('end', () => {
			if (store.isUnresponsive) {
				return;
			}

			const respond = (body: () => object, waitMs: number): void => {
				setTimeout(() => {
					res.writeHead(200, {'content-type': 'application/json'});
					res.end(JSON.stringify({
						boot_epoch: epoch, next: nextEventNumber, clock_ms: Math.round(performance.now()), ...body(),
					}));
				}, waitMs);
			};

			const url = new URL(req.url!, 'http://store');
			if (url.pathname === '/v1/kv-free') {
				for (const [scope, part] of (JSON.parse(requestBody) as {parts: Array<[string, string]>}).parts) {
					unfinishedParts.delete(`${scope} ${part}`);
					const entry = completeParts.get(`${scope} ${part}`);
					if (entry) {
						completeParts.delete(`${scope} ${part}`);
						recordEvent('-', entry);
					}
				}

				respond(() => ({}), 0);
				return;
			}

			calls++;
			if (url.pathname === '/v1/kv-list') {
				listingRequests++;
				respond(() => ({held: [...completeParts.values()], partial: [...unfinishedParts.values()]}), listingDelayMs);
			} else {
				const since = Number(url.searchParams.get('since'));
				respond(() => ({lost: false, events: events.filter(([number]) => number >= since)}), Number(req.headers['wait-ms'] ?? 0));
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const store: KvStoreServer = {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		save(scope, part, tokens) {
			const entry: Entry = [scope, part, tokens, 'm'];
			completeParts.set(`${scope} ${part}`, entry);
			recordEvent('+', entry);
		},
		saveWithoutEvent(scope, part, tokens) {
			completeParts.set(`${scope} ${part}`, [scope, part, tokens, 'm']);
		},
		savePartially(scope, part, tokens) {
			unfinishedParts.set(`${scope} ${part}`, [scope, part, 0, tokens]);
		},
		restart() {
			epoch++;
			completeParts = new Map();
			events = [];
			nextEventNumber = 1;
		},
		parts: () => [...completeParts.keys()],
		unfinished: () => [...unfinishedParts.keys()],
		calls: () => calls,
		listingCount: () => listingRequests,
		isUnresponsive: false,
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
	return store;
}
