/* eslint-disable camelcase -- names of the users' wire */
import {createServer} from 'node:http';

const historyLimit = 100_000;
const pageSize = 500;

/**
Stand-in for the platform's metadata store, by PROTOCOL.md. It listens on one address for each host, so that each host can be partitioned from it alone.

@param rewrite - Returns the spec of an object as a host sees it.
*/
export function createStore(rewrite = (_viewer, _kind, spec) => spec) {
	const kinds = new Map();
	const watchers = new Set();
	const servers = [];
	let changes = [];
	let revision = 1;
	let isSilent = false;

	const objectsOf = kind => {
		const known = kinds.get(kind) ?? new Map();
		kinds.set(kind, known);
		return known;
	};

	const record = change => {
		changes.push(change);
		changes = changes.slice(-historyLimit);
		for (const wake of watchers) {
			wake();
		}
	};

	const put = (kind, name, spec) => {
		const known = objectsOf(kind).get(name);
		if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) {
			return known;
		}

		revision++;
		const object = {
			metadata: {
				name, revision, create_revision: known?.metadata.create_revision ?? revision, finalizers: [], deleting: false,
			},
			spec,
			status: known?.status ?? {},
		};
		objectsOf(kind).set(name, object);
		record({
			kind, revision, object, removed: false,
		});
		return object;
	};

	const remove = (kind, name) => {
		const object = objectsOf(kind).get(name);
		if (object) {
			revision++;
			objectsOf(kind).delete(name);
			record({
				kind, revision, object, removed: true,
			});
		}
	};

	const write = (method, kind, name, {metadata = {}, spec}) => {
		const known = objectsOf(kind).get(name);
		if (method === 'POST') {
			return known ? {status: 409, body: known} : {status: 201, body: put(kind, name, spec)};
		}

		if (!known) {
			return {status: 404, body: {}};
		}

		return metadata.revision !== undefined && metadata.revision !== known.metadata.revision
			? {status: 409, body: known}
			: {status: 200, body: put(kind, name, spec)};
	};

	const list = (kind, after) => {
		const names = [...objectsOf(kind).keys()].toSorted().filter(name => after === null || name > after);
		const page = names.slice(0, pageSize);
		return {items: page.map(name => objectsOf(kind).get(name)), has_more: page.length < names.length, as_of: revision};
	};

	const watch = (kind, from, waitMs, respond) => {
		const end = () => {
			watchers.delete(wake);
			clearTimeout(timer);
			const events = changes.filter(change => change.kind === kind && change.revision > from);
			respond({events: events.map(({object, removed}) => ({object, removed})), as_of: revision});
		};

		const wake = () => {
			if (changes.some(change => change.kind === kind && change.revision > from)) {
				end();
			}
		};

		const timer = setTimeout(end, waitMs);
		watchers.add(wake);
		wake();
	};

	/** Opens an address for one host; returns the port. */
	const open = async viewer => {
		const show = (kind, object) => object && {...object, spec: rewrite(viewer, kind, object.spec)};
		const server = createServer((req, res) => {
			const url = new URL(req.url, 'http://store');
			const [kind = '', name] = url.pathname.split('/').slice(3).map(part => decodeURIComponent(part));
			const send = (status, body) => {
				setTimeout(() => {
					if (isSilent) {
						return;
					}

					res.writeHead(status, {'content-type': 'application/json', 'store-era': '1'});
					res.end(JSON.stringify(body));
				}, 4);
			};

			let text = '';
			req.on('data', chunk => {
				text += String(chunk);
			});
			req.on('end', () => {
				if (isSilent) {
					return;
				}

				if (req.method === 'POST' || req.method === 'PUT') {
					const body = JSON.parse(text);
					const result = write(req.method, kind, name ?? body.metadata.name, body);
					send(result.status, result.body.metadata ? show(kind, result.body) : result.body);
				} else if (req.method === 'DELETE') {
					remove(kind, name);
					send(200, {});
				} else if (name !== undefined) {
					const object = objectsOf(kind).get(name);
					send(object ? 200 : 404, show(kind, object) ?? {});
				} else if (url.searchParams.has('watch')) {
					watch(kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('wait_ms') ?? 0), ({events, as_of: asOf}) => {
						send(200, {events: events.map(({object, removed}) => ({object: show(kind, object), removed})), as_of: asOf});
					});
				} else {
					const {items, ...rest} = list(kind, url.searchParams.get('after'));
					send(200, {...rest, items: items.map(item => show(kind, item))});
				}
			});
		});
		servers.push(server);
		await new Promise(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return server.address().port;
	};

	return {
		/** While the store is silent, it answers nobody, and takes nothing from engines either. */
		setSilent(value) {
			isSilent = value;
		},
		isSilent: () => isSilent,
		put, remove, open, get: (kind, name) => objectsOf(kind).get(name),
		stop() {
			for (const server of servers) {
				server.close();
				server.closeAllConnections();
			}
		},
	};
}
