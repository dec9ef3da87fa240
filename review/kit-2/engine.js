/* eslint camelcase: off -- The names on the wire are those of the platform's pages. */
/** Stand-in for an engine: runs requests one after the other or side by side, answers with its seal, drops a request when its connection closes. */
import {createServer} from 'node:http';

/**
Starts an engine and registers it in the store.

`work(request)` returns what it does: `{workMs}` for one answer, or `{pieces, gapMs}` for a stream of events.
`onEvent(event)` is called with what it receives and runs.
*/
export async function startEngine({store, id, service, address, zone, version = 'v1', slots = 16, work, onEvent}) {
	const entry = {
		service, address, zone, version, slots, state: 'ready', cold_remaining_ms: 0, seq: 1, born: Date.now(),
	};
	let sealNumber = 0;

	const createHead = requestId => {
		sealNumber++;
		return {'Request-Id': requestId, 'Response-Seal': `${id}.${sealNumber}`};
	};

	const answer = (res, requestId, body, workMs) => {
		const timer = setTimeout(() => {
			onEvent({type: 'ended', id, requestId});
			res.writeHead(200, {...createHead(requestId), 'Content-Type': 'text/plain', 'Content-Length': Buffer.byteLength(body)});
			res.end(body);
		}, workMs);
		res.once('close', () => {
			clearTimeout(timer);
			if (!res.writableFinished) {
				onEvent({type: 'dropped', id, requestId});
			}
		});
	};

	const stream = (res, requestId, {pieces, gapMs}) => {
		res.writeHead(200, {...createHead(requestId), 'Content-Type': 'text/event-stream'});
		let piece = 0;
		const timer = setInterval(() => {
			piece++;
			res.write(`id: ${piece}\ndata: ${requestId} ${piece}\n\n`);
			if (piece === pieces) {
				clearInterval(timer);
				onEvent({type: 'ended', id, requestId});
				res.end();
			}
		}, gapMs);
		res.once('close', () => {
			clearInterval(timer);
			if (!res.writableFinished) {
				onEvent({type: 'dropped', id, requestId});
			}
		});
	};

	const server = createServer({keepAliveTimeout: 20_000}, (req, res) => {
		if (req.url === '/health') {
			res.writeHead(200, {'Instance-Id': id, 'Content-Length': 0});
			res.end();
			return;
		}

		req.resume();
		req.on('end', () => {
			const requestId = req.headers['request-id'];
			onEvent({
				type: 'reached', id, requestId, method: req.method, url: req.url,
			});
			if (req.headers['expect-instance'] !== undefined && req.headers['expect-instance'] !== id) {
				res.writeHead(421, {'Request-Id': requestId, 'Not-Executed': 'instance', 'Content-Length': 0});
				res.end();
				return;
			}

			onEvent({type: 'runs', id, requestId});
			const doing = work({requestId, url: req.url});
			if (doing.pieces === undefined) {
				answer(res, requestId, `${id} did ${requestId}\n`, doing.workMs);
			} else {
				stream(res, requestId, doing);
			}
		});
	});
	const [host, port] = address.split(':');
	await new Promise(resolve => {
		server.listen(Number(port), host, resolve);
	});
	store.put('servers', id, entry);
	return {
		id,
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
