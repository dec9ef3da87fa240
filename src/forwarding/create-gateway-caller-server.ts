import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {authorizeRequest} from '../decide/forwarding/authorize-request.js';
import {Refusal} from '../errors/refusal.js';
import {listen} from '../http/listen.js';
import {parseAddress} from '../http/parse-address.js';
import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type CallerRequest} from './caller-request.js';
import {createCallerResponse} from './create-caller-response.js';
import {type IndexedConfiguration} from './indexed-configuration.js';
import {readRequestBody} from './read-request-body.js';

const notReadyRetryAfterMs = 500;
/** Another host takes the request at once. */
const stoppingRetryAfterMs = 30;
/** Head bytes that the parser takes; the configuration's own limit is checked after it. */
const maxParserHeaderBytes = 64 * 1024;
const headerOverheadBytes = 4;
const connectionCheckIntervalMs = 500;
const idleCheckIntervalMs = 50;
/** Idle connections are kept a little past the promised time, so that a request on its way still finds them open. */
const keepAliveMarginMs = 500;

/** What the port towards callers needs. */
type GatewayCallerServerOptions = {
	readonly address: string;
	readonly state: () => IndexedConfiguration | undefined;
	readonly decode: (req: IncomingMessage) => CallerRequest;
	/** Header, name and value, with which answers name their request. */
	readonly createRequestIdHeaders: (request: CallerRequest) => readonly string[];
	readonly forward: (admitted: AdmittedRequest) => Promise<void>;
	readonly now: () => number;
	readonly onRefusal: (refusal: Refusal) => void;
};

/** The running port towards callers. */
type GatewayCallerServer = {
	readonly port: number;
	/**
	Tells callers to use new connections from now on.
	@param acceptAllUntil - From then on only requests are taken that end before the stop, in milliseconds of the steady clock.
	@param stopAt - When the process stops.
	*/
	readonly drain: (acceptAllUntil: number, stopAt: number) => void;
	/** Waits until no request is under way. */
	readonly waitUntilIdle: () => Promise<void>;
	readonly underWay: () => number;
	/** Closes connections that have no request under way. */
	readonly closeIdleConnections: () => void;
	readonly stop: () => void;
};

const parserErrorStatuses: Readonly<Record<string, number>> = {HPE_HEADER_OVERFLOW: 431, ERR_HTTP_REQUEST_TIMEOUT: 408};

function countHeaderBytes(req: IncomingMessage): number {
	return req.rawHeaders.reduce((sum, text) => sum + text.length, 0) + (headerOverheadBytes * req.rawHeaders.length / 2);
}

/** Serves callers: checks each request, reads its body and has it forwarded. */
export async function createGatewayCallerServer(options: GatewayCallerServerOptions): Promise<GatewayCallerServer> {
	const {address, state, decode, createRequestIdHeaders, forward, now, onRefusal} = options;
	let draining: {readonly acceptAllUntil: number; readonly stopAt: number} | undefined;
	let underWay = 0;
	const busySockets = new Set<Socket>();
	const openSockets = new Set<Socket>();

	const checkAndForward = async (req: IncomingMessage, res: ServerResponse, request: CallerRequest, receivedAt: number): Promise<void> => {
		const current = state();
		if (!current) {
			throw new Refusal('not-ready', 'this host has no configuration yet', 'no', notReadyRetryAfterMs);
		}

		const {limits} = current.configuration;
		server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveMarginMs;
		server.headersTimeout = limits.headerTimeoutMs;
		if (countHeaderBytes(req) > limits.headerBytes) {
			throw new Refusal('header-too-large', `the head is over ${limits.headerBytes} bytes`, 'no');
		}

		const {route, workspace} = authorizeRequest(request, current);
		const endsAt = receivedAt + Math.min(request.deadlineMs ?? route.timeoutMs, route.timeoutMs);
		if (draining && receivedAt > draining.acceptAllUntil && endsAt > draining.stopAt) {
			throw new Refusal('not-ready', 'this host stops before the request could end', 'no', stoppingRetryAfterMs);
		}

		const callerGone = new AbortController();
		res.once('close', () => {
			if (!res.writableFinished) {
				callerGone.abort();
			}
		});
		const body = await readRequestBody(req, limits.bodyBytes, limits.idleTimeoutMs);
		// A host that lags finds a request and its caller's leaving at the same moment; the leaving is read in the next turn.
		await setImmediate();
		await setImmediate();
		if (callerGone.signal.aborted || req.socket.readableEnded) {
			log.info({requestId: request.id ?? '', route: route.name, afterMs: Math.round(now() - receivedAt)}, 'caller left before its request was sent');
			res.destroy();
			return;
		}

		await forward({
			request, route, workspace, body, receivedAt, endsAt, signal: callerGone.signal,
			answer: createCallerResponse(res, createRequestIdHeaders(request), () => draining !== undefined),
		});
	};

	const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const receivedAt = now();
		const {socket} = req;
		underWay++;
		busySockets.add(socket);
		let request: CallerRequest | undefined;
		try {
			request = decode(req);
			await checkAndForward(req, res, request, receivedAt);
		} catch (error) {
			const refusal = error instanceof Refusal ? error : new Refusal('internal', 'internal error', 'unknown');
			if (refusal !== error) {
				log.error({requestId: request?.id ?? '', error: String((error as Error).stack)}, 'request failed inside');
			}

			log.info({
				requestId: request?.id ?? '', kind: refusal.kind, ran: refusal.ran, detail: refusal.message, configuration: state()?.configuration.version ?? 0,
			}, 'refused');
			onRefusal(refusal);
			// The rest of a body that was not read must not be taken for a request.
			createCallerResponse(res, request ? createRequestIdHeaders(request) : [], () => draining !== undefined || !req.complete).refuse(refusal);
		} finally {
			underWay--;
			busySockets.delete(socket);
		}
	};

	const server = createServer({
		maxHeaderSize: maxParserHeaderBytes,
		connectionsCheckingInterval: connectionCheckIntervalMs,
		requestTimeout: 0,
		insecureHTTPParser: false,
		requireHostHeader: true,
	}, (req, res) => {
		void handle(req, res);
	});
	server.on('connection', socket => {
		openSockets.add(socket);
		socket.once('close', () => openSockets.delete(socket));
	});
	server.on('clientError', (error: Error & {code?: string}, socket) => {
		if (error.code === 'ECONNRESET') {
			log.info({error: error.code}, 'caller reset its connection');
			socket.destroy();
			return;
		}

		const status = parserErrorStatuses[error.code ?? ''] ?? 400;
		log.info({error: error.code ?? error.message, status}, 'malformed request');
		if (!socket.writable || busySockets.has(socket as Socket)) {
			socket.destroy();
			return;
		}

		socket.end(`HTTP/1.1 ${status} Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
	});
	const port = await listen(server, parseAddress(address));

	return {
		port,
		drain(acceptAllUntil, stopAt) {
			draining = {acceptAllUntil, stopAt};
		},
		async waitUntilIdle() {
			while (underWay > 0) {
				await sleep(idleCheckIntervalMs);
			}
		},
		underWay: () => underWay,
		closeIdleConnections() {
			server.closeIdleConnections();
		},
		stop() {
			server.close();
			for (const socket of openSockets) {
				socket.destroy();
			}
		},
	};
}
