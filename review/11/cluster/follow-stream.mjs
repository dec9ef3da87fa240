import {randomBytes} from 'node:crypto';
import {request} from 'node:http';

const maxRetries = 3;
const pauseMs = 1000;

/** Reads one answer; returns its events, and whether it ended as complete. */
async function readOnce({port, path, key, headers, deadlineMs, onEvent}) {
	return new Promise(resolve => {
		const requestId = randomBytes(8).toString('hex');
		const settle = result => {
			resolve({requestId, ...result});
		};

		const req = request({
			host: '127.0.0.1', port, path, method: 'POST', agent: false,
			headers: {
				host: 'desk.example', 'request-id': requestId, 'x-api-key': key, 'deadline-ms': String(Math.floor(deadlineMs)), 'content-length': '0', ...headers,
			},
		}, res => {
			let text = '';
			const {statusCode: status} = res;
			const retryAfterS = Number(res.headers['retry-after'] ?? Number.NaN);
			res.on('data', chunk => {
				text += String(chunk);
				if (status !== 200) {
					return;
				}

				for (let end = text.indexOf('\n\n'); end !== -1; end = text.indexOf('\n\n')) {
					const [, id, version] = /^id: (\d+)\ndata: (\S+)$/v.exec(text.slice(0, end));
					text = text.slice(end + 2);
					onEvent({requestId, id: Number(id), version});
				}
			});
			res.on('error', () => undefined);
			res.on('close', () => {
				settle({status, retryAfterS, isComplete: status === 200 && res.complete && text === ''});
			});
		});
		req.on('error', error => {
			settle({status: 0, error: error.code ?? error.message, isComplete: false});
		});
		const timer = setTimeout(() => {
			req.destroy();
		}, deadlineMs);
		req.on('close', () => {
			clearTimeout(timer);
		});
		req.end();
	});
}

/**
Follows a stream as the users' clients do: after a broken connection it takes the stream up at another host, a few times within the deadline.

@param choosePort - Returns the port of a host for each try.
*/
export async function followStream({choosePort, path, key, deadlineMs, maxGapMs, record}) {
	const endsAt = performance.now() + deadlineMs;
	const events = [];
	const tries = [];
	let begunBy;
	/** Tries that named an earlier event, and whether one of them brought a further one. */
	let takenUp = 0;
	let goneOn = false;
	let lastAt = performance.now();
	for (let attempt = 0; attempt <= maxRetries; attempt++) {
		const leftMs = endsAt - performance.now();
		if (leftMs < 50 || (events.length > 0 && performance.now() - lastAt > maxGapMs)) {
			break;
		}

		const host = choosePort(attempt);
		const resume = events.length > 0 ? {'last-event-id': String(events.at(-1).id), resumes: begunBy} : {};
		takenUp += events.length > 0 ? 1 : 0;
		const before = events.length;
		const result = await readOnce({
			port: host.port, path, key, headers: resume, deadlineMs: leftMs,
			onEvent({requestId, id, version}) {
				begunBy ??= requestId;
				lastAt = performance.now();
				events.push({id, version, host: host.name});
			},
		});
		goneOn ||= before > 0 && events.length > before;
		tries.push({host: host.name, ...result});
		record({
			stream: begunBy ?? result.requestId, attempt, host: host.name, resumed: resume['last-event-id'], ...result, events: events.length,
		});
		if (result.isComplete || (result.status >= 400 && result.status < 500 && ![408, 421, 429].includes(result.status))) {
			break;
		}

		const waitMs = Number.isNaN(result.retryAfterS) || result.retryAfterS === undefined ? pauseMs : Math.min(result.retryAfterS * 1000, (endsAt - performance.now()) / 3);
		await new Promise(resolve => {
			setTimeout(resolve, result.status === 200 ? 50 : waitMs);
		});
	}

	return {
		events, tries, takenUp, goneOn,
	};
}
