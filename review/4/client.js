/** Stand-in for a client: sends one request and tells how it ended. */
import {Agent, request} from 'node:http';

const agent = new Agent({keepAlive: true, maxSockets: 400});

/**
Sends a request to a host.

@returns Its status (0 where the connection ended without a whole answer), the seal, `Retry-After` and the body.
*/
export async function sendRequest({ip, port}, {id, method = 'GET', path, host = 'app.example', deadlineMs, key = 'key-1', headers = {}, body}) {
	return new Promise(resolve => {
		const req = request({
			agent, host: ip, port, method, path, headers: {
				Host: host, 'Request-Id': id, 'Deadline-Ms': deadlineMs, 'X-Api-Key': key, ...headers, ...(body === undefined ? {} : {'Content-Length': Buffer.byteLength(body)}),
			},
		}, res => {
			const chunks = [];
			res.on('data', chunk => chunks.push(chunk));
			res.once('close', () => {
				clearTimeout(timer);
				resolve({
					status: res.complete ? res.statusCode : 0, seal: res.headers['response-seal'], retryAfterS: Number(res.headers['retry-after'] ?? 0), body: Buffer.concat(chunks).toString(),
				});
			});
		});
		const timer = setTimeout(() => {
			req.destroy();
		}, deadlineMs);
		req.once('error', error => {
			clearTimeout(timer);
			resolve({
				status: 0, error: String(error), retryAfterS: 0, body: '',
			});
		});
		req.end(body);
	});
}
