import {type Socket} from 'node:net';
import {createUpstreamServer, type ReceivedRequest, type UpstreamServer} from './create-upstream-server.js';

/** A stand-in for an upstream with few slots that falls over when it has to turn away too many requests. */
export type BrittleUpstream = {
	readonly server: UpstreamServer;
	/** Turned away at most in a second, as it states; `undefined` while it states nothing and does not fall over. */
	brittle: string | undefined;
	/** Requests that may wait for a slot. */
	maxWaiting: number;
	/** When it fell over, in milliseconds of the monotonic clock. */
	readonly falls: readonly number[];
	/** When requests ended that it ran. */
	readonly served: readonly number[];
};

const windowMs = 1000;
const downMs = 800;

/** Starts the stand-in on a free port. */
export async function createBrittleUpstream(slots: number, workMs: number): Promise<BrittleUpstream> {
	const server = await createUpstreamServer();
	const waiting: Array<() => void> = [];
	const falls: number[] = [];
	const served: number[] = [];
	let turnedAway: number[] = [];
	let running = 0;
	let downUntil = 0;
	const upstream: BrittleUpstream = {
		server, brittle: undefined, maxWaiting: 1000, falls, served,
	};
	const state = (): string => upstream.brittle === undefined ? '' : `Server-Brittle: ${upstream.brittle}\r\n`;

	const turnAway = ({headers}: ReceivedRequest, socket: Socket): void => {
		socket.write(`HTTP/1.1 503 Full\r\nRequest-Id: ${headers.get('request-id')}\r\nNot-Executed: full\r\n${state()}Content-Length: 0\r\n\r\n`);
		const now = performance.now();
		turnedAway = [...turnedAway.filter(at => now - at < windowMs), now];
		if (upstream.brittle !== undefined && turnedAway.length > Number(upstream.brittle)) {
			falls.push(now);
			downUntil = now + downMs;
			turnedAway = [];
		}
	};

	const run = ({headers}: ReceivedRequest, socket: Socket): void => {
		running++;
		setTimeout(() => {
			running--;
			const id = headers.get('request-id');
			if (performance.now() < downUntil) {
				socket.resetAndDestroy();
			} else {
				served.push(performance.now());
				socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\n${state()}Content-Length: 5\r\n\r\nwhole`);
			}

			waiting.shift()?.();
		}, workMs);
	};

	server.answer = (received, socket) => {
		if (received.target === '/health') {
			socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: i\r\n${state()}Content-Length: 0\r\n\r\n`);
		} else if (performance.now() < downUntil) {
			socket.resetAndDestroy();
		} else if (running < slots) {
			run(received, socket);
		} else if (waiting.length < upstream.maxWaiting) {
			waiting.push(() => {
				run(received, socket);
			});
		} else {
			turnAway(received, socket);
		}
	};

	return upstream;
}
