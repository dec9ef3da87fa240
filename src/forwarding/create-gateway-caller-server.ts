import {setMaxListeners} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {limitAttempts} from '../decide/attempts/limit-attempts.js';
import {type SpentAttempts} from '../decide/attempts/spent-attempts.js';
import {authorizeRequest} from '../decide/forwarding/authorize-request.js';
import {mayRepeat} from '../decide/forwarding/may-repeat.js';
import {Refusal} from '../errors/refusal.js';
import {createEndingConnections} from '../http/create-ending-connections.js';
import {limitConnections} from '../http/limit-connections.js';
import {listen} from '../http/listen.js';
import {parseAddress} from '../http/parse-address.js';
import {readRequestBody} from '../http/read-request-body.js';
import {waitUntilClosed} from '../http/wait-until-closed.js';
import {log} from '../observe/log.js';
import {toDelayMs} from '../util/to-delay-ms.js';
import {type IndexedConfiguration} from '../object-store/indexed-configuration.js';
import {type CallerLoadLimits} from '../callers/caller-load-limits.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type CallerRequest} from './caller-request.js';
import {createAttemptTracker} from './create-attempt-tracker.js';
import {createCallerResponse} from './create-caller-response.js';
import {type Route} from './route.js';
import {stoppingRetryAfterMs} from './stopping-retry-after-ms.js';

const notReadyRetryAfterMs = 500;
/** Requests that are still under way this long before a planned stop are answered, so that none is cut without an answer. */
const stopAnswerMs = 300;
/** Size limit of a request head in the HTTP parser; the configured limit is checked after parsing. */
const maxParserHeaderBytes = 64 * 1024;
/** The parser keeps up to this multiple of the configured limit; a crowd of heads that do not end would take 64 KiB each. */
const parserHeaderFactor = 2;
/** Separator and line end of one header: `: ` and CRLF. */
const headerOverheadBytes = 4;
const headerName = /^(?:[\w!#$%'*+\-.^`\|~]|&)+$/v;
/** Room for what another host adds to the head of a request that it hands on. */
const relayHeaderBytes = 4096;
const connectionCheckIntervalMs = 500;
/** Idle connections stay open for this long past the configured time, so that a request already sent still finds its connection open. */
const keepAliveMarginMs = 500;

/** Options of `createGatewayCallerServer`. */
type GatewayCallerServerOptions = {
	readonly address: string;
	/** Returns the configuration in use; `undefined` until this host has one. */
	readonly state: () => IndexedConfiguration | undefined;
	readonly decode: (req: IncomingMessage) => CallerRequest;
	/** Returns names and values of the headers by which a refusal names its request, and tells other hosts that it was not run. */
	readonly createRefusalHeaders: (request: CallerRequest | undefined, refusal: Refusal) => readonly string[];
	/** Whether the callers are other hosts that hand on requests. */
	readonly isRelay: boolean;
	/** Returns names and values of the headers that tell another host what has been spent of a request's attempts. */
	readonly encodeSpentAttempts: (spent: SpentAttempts) => readonly string[];
	/** Returns whether a connection from an IP address is accepted. */
	readonly acceptsFrom: (ip: string) => boolean;
	/** Further requests are refused at once. */
	readonly maxInFlight: number;
	readonly maxConnections: number;
	readonly load: CallerLoadLimits;
	readonly forward: (admitted: AdmittedRequest) => Promise<void>;
	readonly now: () => number;
	readonly onRefusal: (refusal: Refusal) => void;
};

/** The running server for callers. */
type GatewayCallerServer = {
	readonly port: number;
	/**
	Asks callers, by `Connection: close`, to open a new connection for their next request.

	Whatever is under way shortly before `stopAt` is answered then.

	@param acceptAllUntil - Later requests are refused if their deadline is after `stopAt`, those that may not be repeated at once; in milliseconds of the monotonic clock.
	@param stopAt - When the process stops, on the same clock.
	*/
	readonly drain: (acceptAllUntil: number, stopAt: number) => void;
	/** Returns the number of requests whose answers have not left this host. */
	readonly underWay: () => number;
	/** Closes connections that have no request in flight. */
	readonly closeIdleConnections: () => void;
	readonly stop: () => void;
};

const parserErrorStatuses: Readonly<Record<string, number>> = {HPE_HEADER_OVERFLOW: 431, ERR_HTTP_REQUEST_TIMEOUT: 408};

function countHeaderBytes(req: IncomingMessage): number {
	return req.rawHeaders.reduce((sum, text) => sum + text.length, 0) + (headerOverheadBytes * req.rawHeaders.length / 2);
}

/** Some versions of Node.js accept a space before the colon. */
function hasValidHeaderNames({rawHeaders}: IncomingMessage): boolean {
	return rawHeaders.every((text, index) => index % 2 === 1 || headerName.test(text));
}

/** Starts the server for callers, which checks each request, reads its body and forwards it. */
export async function createGatewayCallerServer(options: GatewayCallerServerOptions): Promise<GatewayCallerServer> {
	const {address, state, decode, createRefusalHeaders, isRelay, encodeSpentAttempts, acceptsFrom, maxInFlight, maxConnections, load, forward, now, onRefusal} = options;
	let draining: {readonly acceptAllUntil: number; readonly stopAt: number} | undefined;
	const stopping = new AbortController();
	// Each request under way listens, and stops listening at its end.
	setMaxListeners(0, stopping.signal);
	let stopTimer: NodeJS.Timeout | undefined;
	let underWay = 0;
	const busySockets = new Set<Socket>();
	const openSockets = new Set<Socket>();
	const ending = createEndingConnections();

	/** A host of an earlier build, which states no attempts, would pass the headers on to its caller. */
	const createAttemptHeaders = (request: CallerRequest | undefined, spent: SpentAttempts | undefined): readonly string[] =>
		isRelay && request?.attempts && spent ? encodeSpentAttempts(spent) : [];

	/** Whether what may run until `endsAt` ends before this host stops. */
	const endsBeforeStop = (endsAt: number): boolean => !draining || endsAt <= draining.stopAt - stopAnswerMs;

	/**
	Refuses what could not end before a planned stop: from the signal on if it may not be repeated, else once the balancer has had time to remove
	this host.

	@throws {Refusal}
	*/
	const checkStop = (route: Route, endsAt: number): void => {
		const isAccepted = mayRepeat(route) && now() <= (draining?.acceptAllUntil ?? 0);
		if (stopping.signal.aborted || (!endsBeforeStop(endsAt) && !isAccepted)) {
			throw new Refusal('not-ready', 'this host shuts down before the deadline of the request', 'no', stoppingRetryAfterMs);
		}
	};

	const createStopRefusal = (): Refusal => new Refusal('not-ready', 'this host shuts down before the body has arrived', 'no', stoppingRetryAfterMs);

	/** A stopping host ends each connection, after the answer to the last request that it has accepted there. */
	const isLastOnConnection = (req: IncomingMessage): boolean => draining !== undefined && ending.announceEnd(req);

	const checkAndForward = async (req: IncomingMessage, res: ServerResponse, request: CallerRequest, receivedAt: number): Promise<void> => {
		const current = state();
		if (!current) {
			throw new Refusal('not-ready', 'this host has no configuration yet', 'no', notReadyRetryAfterMs);
		}

		if (underWay > maxInFlight) {
			throw new Refusal('not-ready', `this host has ${maxInFlight} such requests under way`, 'no', notReadyRetryAfterMs);
		}

		const {limits} = current.configuration;
		server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveMarginMs;
		server.headersTimeout = limits.headerTimeoutMs;
		if (countHeaderBytes(req) > limits.headerBytes + (isRelay ? relayHeaderBytes : 0)) {
			throw new Refusal('header-too-large', `the request head exceeds ${limits.headerBytes} bytes`, 'no');
		}

		if (!hasValidHeaderNames(req)) {
			throw new Refusal('bad-request', 'a header name has characters that are not allowed', 'no');
		}

		const {route, workspace} = authorizeRequest(request, current);
		const endsAt = receivedAt + Math.min(request.deadlineMs ?? route.timeoutMs, route.timeoutMs);
		checkStop(route, endsAt);
		const callerGone = new AbortController();
		res.once('close', () => {
			if (!res.writableFinished) {
				callerGone.abort();
			}
		});
		const body = await readRequestBody(req, {
			limitBytes: limits.bodyBytes, pauseMs: limits.idleTimeoutMs, minBytesPerS: load.minBodyBytesPerS, budget: load.bodies,
			owner: workspace?.name ?? req.socket.remoteAddress ?? '', stop: {signal: stopping.signal, createRefusal: createStopRefusal}, onLimit: load.onLimit, now,
		});
		try {
			// After a blocked event loop, the request and the caller's disconnect are both pending; the disconnect is read in a later iteration.
			await setImmediate();
			await setImmediate();
			if (callerGone.signal.aborted || req.socket.readableEnded) {
				log.info({requestId: request.id ?? '', route: route.name, afterMs: Math.round(now() - receivedAt)}, 'caller disconnected before its request was forwarded');
				res.destroy();
				return;
			}

			// The stop may have been announced while the body arrived.
			checkStop(route, endsAt);
			const attempts = createAttemptTracker(limitAttempts({maxAttempts: route.maxAttempts, isRelayed: isRelay, stated: request.attempts}));
			await forward({
				request, route, workspace, body: body?.bytes, receivedAt, endsAt, signal: callerGone.signal, stop: {allows: endsBeforeStop, signal: stopping.signal},
				answer: createCallerResponse(
					res,
					refusal => createRefusalHeaders(request, refusal),
					() => isLastOnConnection(req),
					() => createAttemptHeaders(request, attempts.spent()),
				),
				isRelayed: isRelay,
				attempts,
			});
		} finally {
			body?.release();
		}
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
				log.error({requestId: request?.id ?? '', error: String((error as Error).stack)}, 'internal error while handling a request');
			}

			log.info({
				requestId: request?.id ?? '', kind: refusal.kind, ran: refusal.ran, detail: refusal.message, configuration: state()?.configuration.version ?? 0,
			}, 'refused');
			onRefusal(refusal);
			// Closes the connection if part of the body is unread, so that it is not parsed as the next request.
			const isBodyUnread = !req.complete;
			if (isBodyUnread) {
				ending.endAfterAnswer(req);
			}

			createCallerResponse(
				res,
				ofRefusal => createRefusalHeaders(request, ofRefusal),
				() => isBodyUnread || isLastOnConnection(req),
				() => createAttemptHeaders(request, request?.attempts?.spent),
			).refuse(refusal);
		} finally {
			busySockets.delete(socket);
			await waitUntilClosed(res);
			underWay--;
		}
	};

	const server = createServer({
		maxHeaderSize: maxParserHeaderBytes,
		connectionsCheckingInterval: connectionCheckIntervalMs,
		requestTimeout: 0,
		insecureHTTPParser: false,
		requireHostHeader: true,
	}, (req, res) => {
		if (ending.accept(req)) {
			void handle(req, res);
		}
	});
	limitConnections(server, {
		maxConnections,
		isBusy: socket => busySockets.has(socket),
		freeOne: () => load.bodies.giveUpOne(now()),
		onLimit: load.onLimit,
	});
	/** Heads that do not end are bounded from the first connections on, not only once a whole request has arrived. */
	const limitHeads = (): void => {
		const limits = state()?.configuration.limits;
		if (limits) {
			server.headersTimeout = limits.headerTimeoutMs;
			(server as {maxHeaderSize?: number}).maxHeaderSize = Math.min(maxParserHeaderBytes, parserHeaderFactor * (limits.headerBytes + relayHeaderBytes));
		}
	};

	server.on('connection', socket => {
		if (!acceptsFrom(socket.remoteAddress ?? '')) {
			log.warn({address: socket.remoteAddress ?? '', isRelay}, 'connection from an unknown host closed');
			socket.destroy();
			return;
		}

		limitHeads();
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
			stopTimer = setTimeout(() => {
				stopping.abort();
			}, toDelayMs(stopAt - stopAnswerMs - now()));
		},
		underWay: () => underWay,
		closeIdleConnections() {
			server.closeIdleConnections();
		},
		stop() {
			clearTimeout(stopTimer);
			server.close();
			for (const socket of openSockets) {
				socket.destroy();
			}
		},
	};
}
