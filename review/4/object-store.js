/* eslint camelcase: ["error", {properties: "never"}] */
/** Stand-in for the platform's store: objects by kind and name, lists, watches and conditional writes over HTTP. */
import {createServer} from 'node:http';

function send(res, status, body) {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(body));
}

/** Reads a request body as text. */
async function readText(req) {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
}

/**
Starts the store.

@param host - Loopback address to listen on.
@returns Its address, functions for the operator and the engines, and `setDown`, by which every call gets status 503 ("nothing was done").
*/
export async function startObjectStore(host = '127.0.0.1') {
	const kinds = new Map();
	const changes = [];
	const waiting = new Set();
	let revision = 1;
	let isDown = false;

	const recordChange = (kind, object, removed) => {
		changes.push({
			kind, revision, object, removed,
		});
		for (const wake of waiting) {
			wake();
		}
	};

	const objectsOf = kind => {
		const known = kinds.get(kind) ?? new Map();
		kinds.set(kind, known);
		return known;
	};

	const put = (kind, name, spec) => {
		const objects = objectsOf(kind);
		const known = objects.get(name);
		if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) {
			return known;
		}

		revision++;
		const object = {
			metadata: {
				name, revision, create_revision: known?.metadata.create_revision ?? revision, finalizers: [], deleting: false,
			},
			spec,
			status: null,
		};
		objects.set(name, object);
		recordChange(kind, object, false);
		return object;
	};

	const remove = (kind, name) => {
		const object = objectsOf(kind).get(name);
		if (object) {
			revision++;
			objectsOf(kind).delete(name);
			recordChange(kind, object, true);
		}
	};

	const watch = (res, kind, from, waitMs) => {
		const list = () => changes.filter(change => change.kind === kind && change.revision > from);
		const respond = () => {
			waiting.delete(wake);
			clearTimeout(timer);
			if (isDown) {
				send(res, 503, {});
				return;
			}

			send(res, 200, {events: list().map(({object, removed}) => ({object, removed})), as_of: revision});
		};

		const wake = () => {
			if (isDown || list().length > 0) {
				respond();
			}
		};

		const timer = setTimeout(respond, waitMs);
		waiting.add(wake);
		wake();
	};

	const write = (method, kind, name, {metadata, spec}) => {
		const known = objectsOf(kind).get(name);
		if (method === 'POST') {
			return known ? [409, known] : [200, put(kind, name, spec)];
		}

		if (!known) {
			return [404, {}];
		}

		return metadata.revision !== undefined && metadata.revision !== known.metadata.revision ? [409, known] : [200, put(kind, name, spec)];
	};

	const server = createServer(async (req, res) => {
		const url = new URL(req.url, 'http://store');
		const [kind, name] = url.pathname.split('/').slice(3).map(part => decodeURIComponent(part));
		const text = await readText(req);
		if (isDown) {
			send(res, 503, {});
		} else if (req.method === 'POST' || req.method === 'PUT') {
			const body = JSON.parse(text);
			send(res, ...write(req.method, kind, name ?? body.metadata.name, body));
		} else if (name !== undefined) {
			const object = objectsOf(kind).get(name);
			send(res, object ? 200 : 404, object ?? {});
		} else if (url.searchParams.has('watch')) {
			watch(res, kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('wait_ms')));
		} else {
			send(res, 200, {items: [...objectsOf(kind).values()], has_more: false, as_of: revision});
		}
	});
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});

	return {
		address: `${host}:${server.address().port}`,
		put,
		remove,
		isDown: () => isDown,
		setDown(down) {
			isDown = down;
			for (const wake of waiting) {
				wake();
			}
		},
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
