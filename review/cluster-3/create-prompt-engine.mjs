/* eslint-disable camelcase -- names of the users' wire */
import {randomBytes} from 'node:crypto';
import {createServer} from 'node:http';

const heartbeatMs = 1200;

/**
Stand-in for an engine that answers prompts, by PROTOCOL.md. A request with the crashing part crashes it when it begins to write the answer: all its connections are
reset, and it is back under its id, as another start, after `downMs`.
*/
export async function createPromptEngine({id, service, zone, store, model, crashingPart, workMs, downMs, onRun, onCrash}) {
	let born = Date.now();
	let seq = 1;
	let isDown = false;
	let hasStopped = false;
	const sockets = new Set();

	const register = () => {
		if (!isDown) {
			store.put('servers', id, {
				service, address: `127.0.0.1:${port}`, zone, version: 'v1', slots: 16, state: 'ready', cold_remaining_ms: 0, seq: seq++, born, stage: 'both',
				models: [{name: model, version: 1, adapters: []}],
			});
		}
	};

	const handle = (req, res) => {
		if (req.url === '/v1/report') {
			res.writeHead(200, {'content-type': 'application/json'});
			res.end(JSON.stringify({
				stage: 'both', models: [{name: model, version: 1, adapters: []}], busy: false, seq: 0, waiting: 0, running: 0, kv_used: 0, kv_total: 100_000, handles: 0, born,
			}));
			return;
		}

		if (req.url === '/health') {
			res.writeHead(200, {'instance-id': id});
			res.end();
			return;
		}

		const requestId = req.headers['request-id'];
		let text = '';
		req.on('data', chunk => {
			text += String(chunk);
		});
		if (req.headers['expect-instance'] !== id) {
			res.writeHead(421, {'request-id': requestId, 'not-executed': '1', 'content-length': '0'});
			res.end();
			return;
		}

		const isCrashing = req.headers['prompt-prefix'].split(',').some(part => part.split(':')[0] === crashingPart);
		onRun({requestId, engine: id, isCrashing});
		setTimeout(() => {
			if (isDown) {
				return;
			}

			if (isCrashing || text.includes('crash-')) {
				crash();
				return;
			}

			res.writeHead(200, {
				'content-type': 'text/event-stream', 'request-id': requestId, 'response-seal': randomBytes(12).toString('hex'), 'instance-id': id, 'weight-versions': '1',
			});
			res.end('id: 1\ndata: a\n\n');
		}, workMs);
	};

	const server = createServer(handle);
	server.on('connection', socket => {
		sockets.add(socket);
		socket.on('close', () => sockets.delete(socket));
	});
	const listen = async port => new Promise(resolve => {
		server.listen(port, '127.0.0.1', resolve);
	});
	await listen(0);
	const {port} = server.address();

	const crash = () => {
		isDown = true;
		onCrash({engine: id});
		server.close();
		for (const socket of sockets) {
			socket.resetAndDestroy();
		}

		setTimeout(async () => {
			if (!hasStopped) {
				await listen(port);
				isDown = false;
				born = Date.now();
				register();
			}
		}, downMs);
	};

	register();
	const timer = setInterval(register, heartbeatMs);
	return {
		stop() {
			hasStopped = true;
			clearInterval(timer);
			server.close();
			server.closeAllConnections();
		},
	};
}
