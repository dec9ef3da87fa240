import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';

type Entry = readonly [scope: string, part: string, tokens: number, model: string];

/** A stand-in for a managed store of kept context: it lists, tells events and frees, and evicts nothing. */
export type KvStoreServer = {
	readonly address: string;
	/** Puts a whole part there. */
	readonly save: (scope: string, part: string, tokens: number) => void;
	/** Restarts the store, which empties it. */
	readonly restart: () => void;
	/** Puts a whole part there and tells no event of it. */
	readonly saveWithoutEvent: (scope: string, part: string, tokens: number) => void;
	/** Leaves a part there whose save has broken off. */
	readonly savePartially: (scope: string, part: string, tokens: number) => void;
	readonly parts: () => readonly string[];
	/** Parts whose saves have not ended. */
	readonly unfinished: () => readonly string[];
	/** Polls and listings taken. */
	readonly calls: () => number;
	/** Listings taken. */
	readonly listingCount: () => number;
	isUnresponsive: boolean;
	readonly stop: () => void;
};

const listedMs = 5;

/** Starts the stand-in on a free port. */
export async function createKvStoreServer(): Promise<KvStoreServer> {
	let epoch = 1;
	let next = 1;
	let calls = 0;
	let listings = 0;
	let held = new Map<string, Entry>();
	const partial = new Map<string, readonly [scope: string, part: string, done: number, reserved: number]>();
	let events: Array<readonly [number, '+' | '-', string, string, number, string]> = [];
	const note = (sign: '+' | '-', [scope, part, tokens, model]: Entry): void => {
		events.push([next++, sign, scope, part, tokens, model]);
	};

	const server = createServer((req, res) => {
		let text = '';
		req.on('data', chunk => {
			text += String(chunk);
		});
		req.on('end', () => {
			if (store.isUnresponsive) {
				return;
			}

			const answer = (body: () => object, waitMs: number): void => {
				setTimeout(() => {
					res.writeHead(200, {'content-type': 'application/json'});
					res.end(JSON.stringify({
						boot_epoch: epoch, next, clock_ms: Math.round(performance.now()), ...body(),
					}));
				}, waitMs);
			};

			const url = new URL(req.url!, 'http://store');
			if (url.pathname === '/v1/kv-free') {
				for (const [scope, part] of (JSON.parse(text) as {parts: Array<[string, string]>}).parts) {
					partial.delete(`${scope} ${part}`);
					const entry = held.get(`${scope} ${part}`);
					if (entry) {
						held.delete(`${scope} ${part}`);
						note('-', entry);
					}
				}

				answer(() => ({}), 0);
				return;
			}

			calls++;
			if (url.pathname === '/v1/kv-list') {
				listings++;
				answer(() => ({held: [...held.values()], partial: [...partial.values()]}), listedMs);
			} else {
				const since = Number(url.searchParams.get('since'));
				answer(() => ({lost: false, events: events.filter(([number]) => number >= since)}), Number(req.headers['wait-ms'] ?? 0));
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
			held.set(`${scope} ${part}`, entry);
			note('+', entry);
		},
		saveWithoutEvent(scope, part, tokens) {
			held.set(`${scope} ${part}`, [scope, part, tokens, 'm']);
		},
		savePartially(scope, part, tokens) {
			partial.set(`${scope} ${part}`, [scope, part, 0, tokens]);
		},
		restart() {
			epoch++;
			held = new Map();
			events = [];
			next = 1;
		},
		parts: () => [...held.keys()],
		unfinished: () => [...partial.keys()],
		calls: () => calls,
		listingCount: () => listings,
		isUnresponsive: false,
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
	return store;
}
