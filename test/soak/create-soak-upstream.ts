import {type Socket} from 'node:net';
import {hashTo48Bits} from '../../src/util/hash-to-48-bits.js';
import {sleep} from '../../src/util/sleep.js';
import {createUpstreamServer, type ReceivedRequest} from '../support/create-upstream-server.js';
import {buildExpectedChunks} from './build-expected-chunks.js';
import {crashMarks} from './crash-marks.js';
import {type RecordedOrder, type UpstreamRun} from './soak-history.js';

/** Path of health checks, as the configuration names it. */
const healthPath = '/health';
const maxWorkMs = 50;
const eventMs = 15;
const weightLoadMs = 300;
/** One response of this many has neither a length nor chunks and ends with its connection. */
const closeDelimitedEvery = 3;
/** While it truncates responses, one request of this many is refused when it comes first. */
const refusedEvery = 6;
const percent = 100;
const encodeChunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

/** An upstream that records the requests it runs. */
export type SoakUpstream = {
	readonly id: string;
	readonly address: string;
	/** Share of the responses that it truncates, from 0 to 1; above 0 it also refuses some requests at first, and writes each refusal once more. */
	broken: number;
	/** Percentage of the plain requests that it runs and then answers with status 500. */
	failingPercent: number;
	/** Limit on requests a second that it states in its responses. */
	limit: number | undefined;
	/** Whether it states in its responses that it leaves. */
	isLeaving: boolean;
	/** Seconds of rest that it asks for in its next response to a request, which it does not run. */
	nextRestS: number | undefined;
	readonly weights: () => number;
	readonly stop: () => void;
};

/** Callbacks of an upstream. */
type SoakUpstreamCallbacks = {
	readonly onRun: (run: UpstreamRun) => void;
	readonly onOrder: (order: RecordedOrder) => void;
	/** Called when it runs a request that crashes upstreams. */
	readonly onCrash: () => void;
	/** Called when it turns a request away and asks for rest. */
	readonly onRest: (rest: {readonly id: string; readonly restS: number; readonly at: number}) => void;
};

/** Starts an upstream; `random` selects the responses that it truncates. */
export async function createSoakUpstream(id: string, softwareVersion: string, random: () => number, {onRun, onOrder, onCrash, onRest}: SoakUpstreamCallbacks): Promise<SoakUpstream> {
	const server = await createUpstreamServer();
	let version = 1;
	let isBusy = false;
	let acceptedOrders = 0;
	let highestFencingToken = 0;
	let runCount = 0;
	const refusedIds = new Set<string>();
	/** The last refusal on a connection, until the next request comes on it. */
	const refusals = new Map<Socket, string>();

	const sendJson = (socket: Socket, status: string, body: unknown): void => {
		const text = JSON.stringify(body);
		socket.write(`HTTP/1.1 ${status}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`);
	};

	const handleOrder = (socket: Socket, text: string): void => {
		const order = JSON.parse(text) as {version: number; holder: string; fencing_token: number; expect: number};
		if (order.fencing_token < highestFencingToken) {
			sendJson(socket, '412 Precondition Failed', {});
			return;
		}

		highestFencingToken = order.fencing_token;
		onOrder({
			upstream: id, holder: order.holder, token: order.fencing_token, at: performance.now(),
		});
		if (isBusy || order.expect !== acceptedOrders) {
			sendJson(socket, '409 Conflict', {});
			return;
		}

		acceptedOrders++;
		isBusy = true;
		setTimeout(() => {
			isBusy = false;
			version = order.version;
		}, weightLoadMs);
		sendJson(socket, '202 Accepted', {});
	};

	const stateLimit = (): string => upstream.limit === undefined ? '' : `Server-Limit: ${upstream.limit}\r\n`;
	const stateAll = (): string => `${stateLimit()}${upstream.isLeaving ? 'Server-Leaving: 1\r\n' : ''}`;

	const askForRest = ({headers}: ReceivedRequest, socket: Socket, restS: number): void => {
		const id = headers.get('request-id') ?? '';
		upstream.nextRestS = undefined;
		onRest({id, restS, at: performance.now()});
		socket.write(`HTTP/1.1 503 Full\r\nRequest-Id: ${id}\r\nNot-Executed: full\r\nRetry-After: ${restS}\r\n${stateAll()}Content-Length: 0\r\n\r\n`);
	};

	const isRefused = (requestId: string): boolean =>
		upstream.broken > 0 && !refusedIds.has(requestId) && hashTo48Bits(`refused-${requestId}-${id}`) % refusedEvery === 0;

	const refuse = (requestId: string, socket: Socket): void => {
		const text = `HTTP/1.1 503 Full\r\nRequest-Id: ${requestId}\r\nNot-Executed: full\r\n${stateAll()}Content-Length: 0\r\n\r\n`;
		refusedIds.add(requestId);
		refusals.set(socket, text);
		socket.write(text);
	};

	/** Writes the last refusal of a connection once more as the next request arrives on it. */
	const repeatRefusal = (socket: Socket): void => {
		const text = refusals.get(socket);
		if (text !== undefined) {
			refusals.delete(socket);
			socket.write(text);
		}
	};

	const run = async ({headers, target, body}: ReceivedRequest, socket: Socket): Promise<void> => {
		const requestId = headers.get('request-id') ?? '';
		const resumedAfter = headers.get('last-event-id');
		const seal = `${id}-${runCount++}`;
		onRun({
			id: requestId, upstream: id, target, body: body.toString(), workspace: headers.get('tenant'), hasKey: headers.has('x-api-key'),
			at: performance.now(), resumedAfter, seal, version: softwareVersion,
		});
		const isCrashing = target.includes(crashMarks.any) || headers.get('prompt-prefix')?.includes(crashMarks.part) === true;
		if (target.includes(crashMarks.early)) {
			onCrash();
			return;
		}

		const isBroken = random() < upstream.broken;
		const isFailing = hashTo48Bits(`failing-${requestId}-${id}`) % percent < upstream.failingPercent;
		await sleep(hashTo48Bits(`${requestId}${id}`) % maxWorkMs);
		const chunks = buildExpectedChunks(headers.get('resumes') ?? requestId, target).slice(resumedAfter === undefined ? 0 : Number(resumedAfter) + 1);
		const isCloseDelimited = hashTo48Bits(`framing-${requestId}`) % closeDelimitedEvery === 0;
		const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Seal: ${seal}\r\n${stateAll()}`;
		if (!target.startsWith('/ask/')) {
			if (isFailing && !isCrashing) {
				socket.write(`HTTP/1.1 500 Failed\r\nRequest-Id: ${requestId}\r\nResponse-Seal: ${seal}\r\nContent-Length: 0\r\n\r\n`);
				return;
			}

			const text = chunks.join('');
			const framing = isCloseDelimited ? '' : `Content-Length: ${Buffer.byteLength(text)}\r\n`;
			socket.write(`${head}${framing}\r\n${isBroken || isCrashing ? text.slice(0, text.length / 2) : text}`);
			if (isCrashing) {
				await sleep(eventMs);
				onCrash();
			} else if (isBroken) {
				// Without a length, only a reset shows that bytes are missing.
				socket.resetAndDestroy();
			} else if (isCloseDelimited) {
				socket.end();
			}

			return;
		}

		const encode = isCloseDelimited ? (text: string): string => text : encodeChunk;
		socket.write(`${head}Content-Type: text/event-stream\r\n${isCloseDelimited ? '' : 'Transfer-Encoding: chunked\r\n'}\r\n`);
		for (const [index, chunk] of chunks.entries()) {
			if (isBroken && index === chunks.length - 1) {
				// Closes in an orderly way inside an event.
				socket.end(encode(chunk.slice(0, 9)));
				return;
			}

			socket.write(encode(chunk));
			await sleep(eventMs);
			if (isCrashing) {
				onCrash();
				return;
			}
		}

		if (isCloseDelimited) {
			socket.end();
		} else {
			socket.write('0\r\n\r\n');
		}
	};

	server.answer = (received, socket) => {
		if (received.target === healthPath) {
			socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
			return;
		}

		const requestId = received.headers.get('request-id') ?? '';
		repeatRefusal(socket);
		const expected = received.headers.get('expect-instance');
		if (expected !== undefined && expected !== id) {
			socket.write(`HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
		} else if (received.target === '/v1/report') {
			sendJson(socket, '200 OK', {models: [{name: 'm', version}], busy: isBusy, seq: acceptedOrders});
		} else if (received.target === '/v1/order') {
			handleOrder(socket, received.body.toString());
		} else if (upstream.nextRestS !== undefined) {
			askForRest(received, socket, upstream.nextRestS);
		} else if (isRefused(requestId)) {
			refuse(requestId, socket);
		} else {
			void run(received, socket);
		}
	};

	const upstream: SoakUpstream = {
		id, address: server.address, broken: 0, failingPercent: 0, limit: undefined, isLeaving: false, nextRestS: undefined, weights: () => version, stop: server.stop,
	};
	return upstream;
}
