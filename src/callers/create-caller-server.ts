import {randomUUID} from 'node:crypto';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import polka from 'polka';
import {errorStatuses} from '../errors/error-statuses.js';
import {createRefusalBody} from '../errors/refusal-body.js';
import {Refusal} from '../errors/refusal.js';
import {createEndingConnections} from '../http/create-ending-connections.js';
import {limitConnections} from '../http/limit-connections.js';
import {listen} from '../http/listen.js';
import {parseAddress} from '../http/parse-address.js';
import {readRequestBody} from '../http/read-request-body.js';
import {type ReceivedBody} from '../http/received-body.js';
import {sendJson} from '../http/send-json.js';
import {waitUntilClosed} from '../http/wait-until-closed.js';
import {type DecisionLog} from '../observe/decision-log.js';
import {log} from '../observe/log.js';
import {type Metrics} from '../observe/metrics.js';
import {type ConfigSnapshot} from '../publishing/config-snapshot.js';
import {type HostSettings} from '../settings/host-settings.js';
import {type CallerLoadLimits} from './caller-load-limits.js';
import {type createCompletionHandler} from './create-completion-handler.js';
import {type createPlainHandler} from './create-plain-handler.js';
import {findWorkspaces} from './find-workspaces.js';

const notReadyRetryAfterMs = 1000;
const requestIdPattern = /^[\w\-]{1,64}$/v;

/** Options of `createCallerServer`. */
type CallerServerOptions = {
	readonly settings: HostSettings;
	readonly snapshot: () => ConfigSnapshot | undefined;
	readonly handleCompletion: ReturnType<typeof createCompletionHandler>;
	readonly handlePlain: ReturnType<typeof createPlainHandler>;
	readonly decisions: DecisionLog;
	readonly metrics: Metrics;
	readonly load: CallerLoadLimits;
};

/** The HTTP server for callers. */
type CallerServer = {
	readonly port: number;
	/** Sends `connection: close` with all further responses. */
	readonly drain: () => void;
	/** Returns the number of requests whose answers have not left this host. */
	readonly underWay: () => number;
	readonly stop: () => Promise<void>;
};

type Handler = (req: IncomingMessage, res: ServerResponse, authenticated: {
	readonly requestId: string;
	readonly snapshot: ConfigSnapshot;
	readonly workspaces: ReadonlyMap<string, {readonly name: string; readonly weight: number}>;
	readonly text: string;
	readonly receivedAt: number;
	readonly signal: AbortSignal;
}) => Promise<void>;

function toRefusal(error: unknown): Refusal {
	if (error instanceof Refusal) {
		return error;
	}

	log.error({error: String((error as Error).stack)}, 'request failed');
	return new Refusal('internal', 'internal error', 'unknown');
}

function sendRefusal(res: ServerResponse, refusal: Refusal): void {
	const {status, comeBack} = errorStatuses[refusal.kind];
	const closesConnection = !res.req.complete || refusal.kind === 'too-large' || refusal.kind === 'slow-caller';
	sendJson(res, status, createRefusalBody(refusal), {
		...(comeBack && refusal.retryAfterMs !== undefined ? {'retry-after': String(Math.ceil(refusal.retryAfterMs / 1000))} : {}),
		...(closesConnection ? {connection: 'close'} : {}),
	});
}

/** Starts the HTTP server for callers. */
export async function createCallerServer(options: CallerServerOptions): Promise<CallerServer> {
	const {settings, snapshot, handleCompletion, handlePlain, decisions, metrics, load} = options;
	const ending = createEndingConnections();
	const busySockets = new Set<Socket>();
	const {limits} = settings;
	let underWay = 0;
	let isDraining = false;

	/** Reads the body within the limits on its size and time. */
	const read = async (req: IncomingMessage, owner: string): Promise<ReceivedBody | undefined> => readRequestBody(req, {
		limitBytes: limits.bodyBytes, pauseMs: limits.bodyMs, maxMs: limits.bodyMs, minBytesPerS: load.minBodyBytesPerS, budget: load.bodies, owner,
		onLimit: load.onLimit, now: () => performance.now(),
	});

	/** Checks the bearer key, reads the body and calls the handler. */
	const authenticateAndHandle = async (req: IncomingMessage, res: ServerResponse, requestId: string, handle: Handler): Promise<void> => {
		const receivedAt = Date.now();
		const currentSnapshot = snapshot();
		if (!currentSnapshot) {
			throw new Refusal('not-ready', 'this host has no configuration yet', 'no', notReadyRetryAfterMs);
		}

		const workspaces = findWorkspaces(currentSnapshot, req.headers.authorization);
		if (!workspaces) {
			throw new Refusal('unauthorized', 'the bearer key is missing or unknown', 'no');
		}

		const callerGone = new AbortController();
		res.on('close', () => {
			callerGone.abort();
		});
		const [workspace] = workspaces.values();
		const body = await read(req, workspace?.name ?? req.socket.remoteAddress ?? '');
		try {
			await handle(req, res, {
				requestId, snapshot: currentSnapshot, workspaces, text: body?.bytes.toString('utf8') ?? '', receivedAt, signal: callerGone.signal,
			});
		} finally {
			body?.release();
		}
	};

	/** Wraps a handler: sets the request id, counts the request while it runs, and responds to errors with a refusal. */
	const wrapHandler = (handle: Handler) => async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const suppliedId = req.headers['x-request-id'];
		const requestId = typeof suppliedId === 'string' && requestIdPattern.test(suppliedId) ? suppliedId : randomUUID();
		res.setHeader('x-request-id', requestId);
		if (isDraining && ending.announceEnd(req)) {
			res.setHeader('connection', 'close');
		}

		busySockets.add(req.socket);
		underWay++;
		metrics.underWay.set(underWay);
		try {
			await authenticateAndHandle(req, res, requestId, handle);
		} catch (error) {
			const refusal = toRefusal(error);
			metrics.refusals.inc({kind: refusal.kind});
			decisions.record({requestId, what: 'refuse', reason: `${refusal.kind} (ran: ${refusal.ran}): ${refusal.message}`});
			if (!req.complete) {
				ending.endAfterAnswer(req);
			}

			sendRefusal(res, refusal);
		} finally {
			busySockets.delete(req.socket);
			await waitUntilClosed(res);
			underWay--;
			metrics.underWay.set(underWay);
		}
	};

	const listModels: Handler = async (_req, res, {snapshot: current, workspaces}) => {
		const models = current.services
			.filter(service => service.kind === 'model' && workspaces.has(service.service))
			.flatMap(service => service.kind === 'model' ? service.models : []);
		sendJson(res, 200, {object: 'list', data: models.map(model => ({id: model.name, object: 'model', owned_by: 'hemlockpier'}))});
	};

	const createRefusingHandler = (kind: 'unknown-route' | 'method-not-allowed', message: string): Handler => async () => {
		throw new Refusal(kind, message, 'no');
	};

	const server = createServer({
		maxHeaderSize: limits.headerBytes,
		headersTimeout: limits.bodyMs,
		requestTimeout: 2 * limits.bodyMs,
		connectionsCheckingInterval: 1000,
	});
	limitConnections(server, {
		maxConnections: limits.connections,
		isBusy: socket => busySockets.has(socket),
		freeOne: () => load.bodies.giveUpOne(performance.now()),
		onLimit: load.onLimit,
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
		if (socket.writable) {
			const kind = error.code === 'HPE_HEADER_OVERFLOW' ? 'too-large' : 'bad-request';
			const body = JSON.stringify(createRefusalBody(new Refusal(kind, 'the request is not valid HTTP', 'no')));
			const status = kind === 'too-large' ? '431 Request Header Fields Too Large' : '400 Bad Request';
			socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\nx-request-id: ${randomUUID()}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
		}
	});

	const app = polka({
		server, onNoMatch: wrapHandler(createRefusingHandler('unknown-route', 'there is no such route')), onError(error: unknown, _req: IncomingMessage, res: ServerResponse) {
			sendRefusal(res, new Refusal('bad-request', String((error as Error).message), 'no'));
		},
	});
	app.post('/v1/completions', wrapHandler(handleCompletion) as never);
	app.post('/v1/chat/completions', wrapHandler(handleCompletion) as never);
	app.get('/v1/models', wrapHandler(listModels) as never);
	for (const path of ['/v1/completions', '/v1/chat/completions', '/v1/models']) {
		app.all(path, wrapHandler(createRefusingHandler('method-not-allowed', 'this route does not support this method')) as never);
	}

	app.all('/services/*', wrapHandler(handlePlain) as never);
	server.on('request', (req: IncomingMessage, res: ServerResponse) => {
		if (!ending.accept(req)) {
			return;
		}

		try {
			app.handler(req as never, res);
		} catch {
			sendRefusal(res, new Refusal('bad-request', 'the request URL is not valid', 'no'));
		}
	});
	const port = await listen(server, parseAddress(settings.callers));
	return {
		port,
		drain() {
			isDraining = true;
		},
		underWay: () => underWay,
		async stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
