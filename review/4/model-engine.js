/* eslint camelcase: ["error", {properties: "never"}] */
/** Stand-in for an engine of a language model: it streams events and keeps the parts of prompts under the text that the system sets. */
import {createServer} from 'node:http';

/** Returns the ids of a prompt's parts, in order. */
function listParts(prefix = '') {
	return prefix.split(',').filter(part => part !== '').map(part => part.trim().split(':')[0]);
}

/**
Starts an engine and registers it in the store.

@param onRun - Called with what each run shows: the request's id and tenant, the text under which parts are kept, and the kept parts that it uses, each with the run that made it.
*/
export async function startModelEngine({store, id, service, zone, model, slots, heartbeatMs, onRun}) {
	const kept = new Map();
	const born = Date.now();
	let seq = 0;
	let running = 0;

	/** Parts that are kept are not read again as long as all parts before them are kept too. The last part belongs to the request. */
	const readPrompt = (req, run) => {
		const salt = req.headers['cache-salt'] ?? '';
		const used = [];
		let isKeptSoFar = true;
		for (const part of listParts(req.headers['prompt-prefix'])) {
			const key = `${salt}\n${part}`;
			const maker = kept.get(key);
			isKeptSoFar &&= maker !== undefined;
			if (isKeptSoFar) {
				used.push({part, ...maker});
			} else {
				kept.set(key, run);
			}
		}

		return {salt, used};
	};

	const sendStream = async (req, res) => {
		const requestId = req.headers['request-id'];
		const run = {requestId, tenant: req.headers.tenant};
		running++;
		onRun({...run, engine: id, ...readPrompt(req, run)});
		res.writeHead(200, {
			'Request-Id': requestId, 'Response-Seal': `seal-${id}`, 'Content-Type': 'text/event-stream', 'Weight-Versions': 1,
		});
		for (let event = 1; event <= 4; event++) {
			await new Promise(resolve => {
				setTimeout(resolve, 20);
			});
			res.write(`id: ${event}\ndata: piece ${event}\n\n`);
		}

		running--;
		res.end();
	};

	const sendJson = (res, status, body) => {
		res.writeHead(status, {'Content-Type': 'application/json'});
		res.end(JSON.stringify(body));
	};

	const answer = (req, res) => {
		const expected = req.headers['expect-instance'];
		const version = req.headers['expect-version'];
		if (req.url === '/health') {
			res.writeHead(200, {'Instance-Id': id, 'Content-Length': 0});
			res.end();
		} else if (req.url === '/v1/report') {
			sendJson(res, 200, {
				stage: 'both', models: [{name: model, version: 1, adapters: []}], busy: false, seq: 0, waiting: 0, running, kv_used: 0, kv_total: 90_000, handles: 0, born,
			});
		} else if (req.headers['request-id'] === undefined) {
			res.writeHead(400, {'Not-Executed': 'no id', 'Content-Length': 0});
			res.end();
		} else if ((expected !== undefined && expected !== id) || (version !== undefined && version !== '1')) {
			res.writeHead(421, {'Request-Id': req.headers['request-id'], 'Instance-Id': id, 'Content-Length': 0});
			res.end();
		} else if (running >= slots) {
			res.writeHead(503, {'Request-Id': req.headers['request-id'], 'Not-Executed': 'full', 'Content-Length': 0});
			res.end();
		} else {
			sendStream(req, res);
		}
	};

	const server = createServer((req, res) => {
		req.resume();
		req.on('end', () => {
			answer(req, res);
		});
	});
	server.keepAliveTimeout = 15_000;
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const register = () => {
		seq++;
		store.put('servers', id, {
			service, address: `127.0.0.1:${server.address().port}`, zone, version: 'v1', slots, state: 'ready',
			cold_remaining_ms: 0, stage: 'both', models: [{name: model, version: 1, adapters: []}], seq, born,
		});
	};

	register();
	const beats = setInterval(register, heartbeatMs);
	return {
		id,
		stop() {
			clearInterval(beats);
			server.close();
			server.closeAllConnections();
		},
	};
}
