import {type IncomingMessage} from 'node:http';
import {Refusal} from '../errors/refusal.js';
import {toDelayMs} from '../util/to-delay-ms.js';
import {stoppingRetryAfterMs} from './stopping-retry-after-ms.js';

/**
Reads the whole body of a caller's request.

@returns The body; `undefined` when the request has none.
@throws {Refusal} When the body is longer than `limitBytes`, stalls for longer than `pauseMs`, ends early, or has not ended when `signal` is aborted.
*/
export async function readRequestBody(req: IncomingMessage, limitBytes: number, pauseMs: number, signal: AbortSignal): Promise<Buffer | undefined> {
	const length = Number(req.headers['content-length'] ?? 0);
	if (length > limitBytes) {
		throw new Refusal('too-large', `the body is over ${limitBytes} bytes`, 'no');
	}

	if (length === 0 && req.headers['transfer-encoding'] === undefined) {
		req.resume();
		return undefined;
	}

	return new Promise((resolve, reject) => {
		const chunks: Buffer[] = [];
		let size = 0;
		const timer = setTimeout(() => {
			fail(new Refusal('slow-caller', 'the body did not arrive in time', 'no'));
		}, toDelayMs(pauseMs));
		const onAbort = (): void => {
			fail(new Refusal('not-ready', 'this host shuts down before the body has arrived', 'no', stoppingRetryAfterMs));
		};

		const stopWaiting = (): void => {
			clearTimeout(timer);
			signal.removeEventListener('abort', onAbort);
		};

		const fail = (refusal: Refusal): void => {
			stopWaiting();
			req.removeAllListeners('data');
			reject(refusal);
		};

		signal.addEventListener('abort', onAbort, {once: true});
		req.on('data', (chunk: Buffer) => {
			timer.refresh();
			size += chunk.length;
			if (size > limitBytes) {
				fail(new Refusal('too-large', `the body is over ${limitBytes} bytes`, 'no'));
				return;
			}

			chunks.push(chunk);
		});
		req.once('end', () => {
			stopWaiting();
			resolve(Buffer.concat(chunks, size));
		});
		req.once('error', () => {
			fail(new Refusal('slow-caller', 'the body ended early', 'no'));
		});
		req.once('close', stopWaiting);
	});
}
