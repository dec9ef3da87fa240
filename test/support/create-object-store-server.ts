import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';

/** An object as the stand-in sends it. */
type StandInObject = {
	readonly metadata: {readonly name: string; readonly revision: number};
	readonly spec: unknown;
};

/** A change in the history that watches read. */
type StandInChange = {
	readonly kind: string;
	readonly revision: number;
	readonly object: StandInObject;
	readonly removed: boolean;
};

/** Faults that the stand-in simulates. */
type ObjectStoreFaults = {
	/** Requests get no response. */
	isUnresponsive: boolean;
	/** Requests get status 503. */
	isUnavailable: boolean;
	/** Each response leaves this much later, in milliseconds. */
	responseDelayMs: number;
	/** The next write takes effect, but its connection is closed without a response. */
	dropsNextWriteResponse: boolean;
};

/** A copy of the stand-in's objects at one moment. */
export type ObjectStoreCopy = {
	readonly revision: number;
	readonly kinds: ReadonlyMap<string, ReadonlyMap<string, StandInObject>>;
};

/** A stand-in for the platform's object store, with revisions and watches. */
export type ObjectStoreServer = {
	readonly address: string;
	readonly faults: ObjectStoreFaults;
	readonly put: (kind: string, name: string, spec: unknown) => number;
	readonly remove: (kind: string, name: string) => void;
	readonly get: (kind: string, name: string) => StandInObject | undefined;
	/** Discards the history, so that watches from an earlier revision get 410 and list again. */
	readonly compact: () => void;
	/** Copies all objects. */
	readonly copy: () => ObjectStoreCopy;
	/** Loses all that was written since the copy, resets waiting watches and starts the next epoch. */
	readonly restore: (copy: ObjectStoreCopy) => void;
	/** Number of requests received, by HTTP method. */
	readonly calls: Map<string, number>;
	readonly stop: () => void;
};

/**
Starts the stand-in on a free port.

@param rewrite - Transforms the body of each write request before it is stored.
*/
export async function createObjectStoreServer(rewrite = (requestBody: string): string => requestBody): Promise<ObjectStoreServer> {
	const kinds = new Map<string, Map<string, StandInObject>>();
	const calls = new Map<string, number>();
	const watchers = new Set<() => void>();
	const faults: ObjectStoreFaults = {
		isUnresponsive: false, isUnavailable: false, responseDelayMs: 0, dropsNextWriteResponse: false,
	};
	let changes: StandInChange[] = [];
	let revision = 1;
	let compactedRevision = 0;
	let epoch = 1;

	const recordChange = (kind: string, object: StandInObject, removed: boolean): void => {
		changes.push({
			kind, revision, object, removed,
		});
		for (const wakeIfChanged of watchers) {
			wakeIfChanged();
		}
	};

	const put = (kind: string, name: string, spec: unknown): number => {
		const objectsOfKind = kinds.get(kind) ?? new Map<string, StandInObject>();
		kinds.set(kind, objectsOfKind);
		const known = objectsOfKind.get(name);
		if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) {
			return known.metadata.revision;
		}

		revision++;
		const object = {metadata: {name, revision}, spec};
		objectsOfKind.set(name, object);
		recordChange(kind, object, false);
		return revision;
	};

	const remove = (kind: string, name: string): void => {
		const object = kinds.get(kind)?.get(name);
		if (object) {
			revision++;
			kinds.get(kind)!.delete(name);
			recordChange(kind, object, true);
		}
	};

	const send = (res: ServerResponse, status: number, body: unknown): void => {
		const stated = String(epoch);
		const text = JSON.stringify(body);
		setTimeout(() => {
			res.writeHead(status, {'content-type': 'application/json', 'store-era': stated});
			res.end(text);
		}, faults.responseDelayMs);
	};

	const watch = (res: ServerResponse, kind: string, from: number, waitMs: number): void => {
		if (from < compactedRevision || from > revision) {
			send(res, 410, {});
			return;
		}

		const respond = (): void => {
			watchers.delete(notify);
			clearTimeout(timer);
			const events = changes.filter(change => change.kind === kind && change.revision > from);
			send(res, 200, {events: events.map(({object, removed}) => ({object, removed})), as_of: revision});
		};

		const notify = (): void => {
			if (changes.some(change => change.kind === kind && change.revision > from)) {
				respond();
			}
		};

		const timer = setTimeout(respond, waitMs);
		watchers.add(notify);
		notify();
	};

	const write = (method: string, kind: string, name: string, body: {metadata: {name: string; revision?: number}; spec: unknown}): {status: number; body: unknown} => {
		const known = kinds.get(kind)?.get(name);
		if (method === 'POST' ? known : body.metadata.revision !== undefined && body.metadata.revision !== known?.metadata.revision) {
			return {status: known ? 409 : 404, body: known ?? {}};
		}

		put(kind, name, body.spec);
		return {status: 200, body: kinds.get(kind)!.get(name)};
	};

	const server = createServer((req, res) => {
		const url = new URL(req.url!, 'http://store');
		const [kind = '', name] = url.pathname.split('/').slice(3).map(part => decodeURIComponent(part));
		calls.set(req.method!, (calls.get(req.method!) ?? 0) + 1);
		let text = '';
		req.on('data', chunk => {
			text += String(chunk);
		});
		req.on('end', () => {
			if (faults.isUnresponsive) {
				return;
			}

			if (faults.isUnavailable) {
				send(res, 503, {});
			} else if (req.method !== 'GET') {
				const body = JSON.parse(rewrite(text)) as Parameters<typeof write>[3];
				const result = write(req.method!, kind, name ?? body.metadata.name, body);
				if (faults.dropsNextWriteResponse) {
					faults.dropsNextWriteResponse = false;
					res.destroy();
					return;
				}

				send(res, result.status, result.body);
			} else if (name !== undefined) {
				const object = kinds.get(kind)?.get(name);
				send(res, object ? 200 : 404, object ?? {});
			} else if (url.searchParams.has('watch')) {
				watch(res, kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('wait_ms')));
			} else {
				send(res, 200, {items: [...kinds.get(kind)?.values() ?? []], has_more: false, as_of: revision});
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});

	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		faults,
		put,
		remove,
		get: (kind, name) => kinds.get(kind)?.get(name),
		compact() {
			changes = [];
			compactedRevision = revision;
		},
		copy: () => ({revision, kinds: new Map([...kinds].map(([kind, objects]) => [kind, new Map(objects)]))}),
		restore(copy) {
			epoch++;
			revision = copy.revision;
			changes = changes.filter(change => change.revision <= revision);
			kinds.clear();
			for (const [kind, objects] of copy.kinds) {
				kinds.set(kind, new Map(objects));
			}

			server.closeAllConnections();
			watchers.clear();
		},
		calls,
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
