/* eslint-disable camelcase -- names of the users' wire */
import {randomBytes} from 'node:crypto';
import {createServer} from 'node:http';

const heartbeatMs = 1200;

/**
Stand-in for an engine of a streaming service, by PROTOCOL.md. Its entry in the store is repeated with each heartbeat.

@param onEvent - Called with the id of the request for each event that it sends.
*/
export async function createStreamEngine({id, service, zone, version, store, events, eventMs, onRun}) {
	let born = Date.now();
	let seq = 1;
	let current = version;
	let isDown = false;
	const server = createServer((req, res) => {
		const serving = current;
		if (req.url === '/v1/report') {
			res.writeHead(200, {'content-type': 'application/json'});
			res.end(JSON.stringify({
				stage: 'both', models: [], busy: false, seq: 0, waiting: 0, running: 0, kv_used: 0, kv_total: 0, handles: 0, born,
			}));
			return;
		}

		if (req.url === '/health') {
			res.writeHead(200, {'instance-id': id});
			res.end();
			return;
		}

		const requestId = req.headers['request-id'];
		req.resume();
		if (req.headers['expect-instance'] !== id) {
			res.writeHead(421, {'request-id': requestId, 'not-executed': '1', 'content-length': '0'});
			res.end();
			return;
		}

		const first = Number(req.headers['last-event-id'] ?? 0) + 1;
		onRun({
			requestId, engine: id, version: serving, first,
		});
		res.writeHead(200, {
			'content-type': 'text/event-stream', 'request-id': requestId, 'response-seal': randomBytes(12).toString('hex'), 'instance-id': id,
		});
		let next = first;
		const timer = setInterval(() => {
			res.write(`id: ${next}\ndata: ${serving}\n\n`);
			next++;
			if (next > events) {
				clearInterval(timer);
				res.end();
			}
		}, eventMs);
		res.on('close', () => {
			clearInterval(timer);
		});
	});
	const listen = async port => new Promise(resolve => {
		server.listen(port, '127.0.0.1', resolve);
	});
	await listen(0);
	const {port} = server.address();
	const register = () => {
		if (isDown || store.isSilent()) {
			return;
		}

		store.put('servers', id, {
			service, address: `127.0.0.1:${port}`, zone, version: current, slots: 64, state: 'ready', cold_remaining_ms: 0, seq: seq++, born,
		});
	};

	register();
	const timer = setInterval(register, heartbeatMs);
	return {
		/** Ends the engine and starts it again under its id, where `next` is given with that software version. */
		async restart(downMs, next = current) {
			isDown = true;
			server.close();
			server.closeAllConnections();
			await new Promise(resolve => {
				setTimeout(resolve, downMs);
			});
			await listen(port);
			born = Date.now();
			current = next;
			isDown = false;
			register();
		},
		stop() {
			clearInterval(timer);
			server.close();
			server.closeAllConnections();
		},
	};
}
