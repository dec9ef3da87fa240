import {
	createServer as createHttpServer, type IncomingMessage, type RequestListener, type Server,
} from 'node:http';
import {createServer as createHttpsServer, type Server as TlsServer} from 'node:https';
import {type Socket} from 'node:net';
import {JSONRPCErrorException, JSONRPCServer, type JSONRPCRequest} from 'json-rpc-2.0';
import {type CallerLoadLimits} from '../callers/caller-load-limits.js';
import {createBodyBudget} from '../decide/bodies/create-body-budget.js';
import {Refusal} from '../errors/refusal.js';
import {listen} from '../http/listen.js';
import {parseAddress} from '../http/parse-address.js';
import {createEndingConnections} from '../http/create-ending-connections.js';
import {limitConnections} from '../http/limit-connections.js';
import {readRequestBody} from '../http/read-request-body.js';
import {sendJson} from '../http/send-json.js';
import {log} from '../observe/log.js';
import {type TlsCredentials} from '../settings/tls-credentials.js';
import {type PeerHandlers} from './peer-handlers.js';

const maxBodyBytes = 8 * 1024 * 1024;
/** Other hosts send their calls at once. */
const bodyPauseMs = 5000;
const headersTimeoutMs = 5000;
const connectionCheckIntervalMs = 1000;
/** JSON-RPC error code of a refusal. */
const refusalErrorCode = -32_001;

/** The server that answers calls of other hosts. */
type PeerServer = {
	readonly port: number;
	readonly setTlsCredentials: (credentials: TlsCredentials) => void;
	readonly stop: () => Promise<void>;
};

/** Limits of a server for other hosts. */
type PeerServerLimits = {
	readonly load: CallerLoadLimits;
	readonly maxConnections: number;
};

function createUnlimited(): PeerServerLimits {
	const bodies = createBodyBudget(() => Number.POSITIVE_INFINITY);
	return {load: {bodies, minBodyBytesPerS: 0, onLimit: () => undefined}, maxConnections: Number.POSITIVE_INFINITY};
}

function toRpcError(error: unknown): JSONRPCErrorException {
	if (error instanceof Refusal) {
		const {kind, ran, retryAfterMs} = error;
		return new JSONRPCErrorException(error.message, refusalErrorCode, {kind, ran, ...(retryAfterMs === undefined ? {} : {retryAfterMs})});
	}

	log.error({error: String((error as Error).stack)}, 'peer method failed');
	return new JSONRPCErrorException('internal error', refusalErrorCode, {kind: 'internal', ran: 'unknown'});
}

/**
Starts the server for JSON-RPC calls of other hosts. With `credentials`, it accepts only peers whose certificate was
issued by the authority in `credentials`.

@param isPartitioned - Returns whether a fault switch cuts off all peers.
@param limits - What callers of this server may take of the host, since anybody who reaches the address may connect; nothing is bounded by default.
*/
export async function createPeerServer(
	address: string,
	credentials: TlsCredentials | undefined,
	handlers: Partial<PeerHandlers>,
	isPartitioned: () => boolean,
	{load, maxConnections}: PeerServerLimits = createUnlimited(),
): Promise<PeerServer> {
	const rpc = new JSONRPCServer({errorListener: () => undefined});
	for (const [method, handle] of Object.entries(handlers)) {
		rpc.addMethod(method, async (params: unknown) => {
			try {
				return await handle((params ?? {}) as never);
			} catch (error) {
				throw toRpcError(error);
			}
		});
	}

	const ending = createEndingConnections();
	const busySockets = new Set<Socket>();

	const readText = async (req: IncomingMessage): Promise<string> => {
		const body = await readRequestBody(req, {
			limitBytes: maxBodyBytes, pauseMs: bodyPauseMs, minBytesPerS: load.minBodyBytesPerS, budget: load.bodies,
			owner: `peer ${req.socket.remoteAddress ?? ''}`, onLimit: load.onLimit, now: () => performance.now(),
		});
		body?.release();
		return body?.bytes.toString('utf8') ?? '';
	};

	const handleRequest: RequestListener = async (req, res) => {
		const {socket} = req;
		if (!ending.accept(req)) {
			return;
		}

		busySockets.add(socket);
		try {
			if (isPartitioned()) {
				res.destroy();
				return;
			}

			const response = await rpc.receive(JSON.parse(await readText(req)) as JSONRPCRequest);
			// A partition that began during the call loses the response.
			if (isPartitioned()) {
				res.destroy();
				return;
			}

			sendJson(res, 200, response);
		} catch (error) {
			if (!req.complete) {
				ending.endAfterAnswer(req);
			}

			sendJson(res, 400, {error: String(error)}, req.complete ? {} : {connection: 'close'});
		} finally {
			busySockets.delete(socket);
		}
	};

	const timeouts = {headersTimeout: headersTimeoutMs, connectionsCheckingInterval: connectionCheckIntervalMs};
	const tlsServer = credentials
		? createHttpsServer({
			...timeouts, ...credentials, requestCert: true, rejectUnauthorized: true,
		}, handleRequest)
		: undefined;
	const server: Server | TlsServer = tlsServer ?? createHttpServer(timeouts, handleRequest);
	limitConnections(server, {
		maxConnections,
		isBusy: socket => busySockets.has(socket),
		freeOne: () => load.bodies.giveUpOne(performance.now()),
		onLimit: load.onLimit,
	});
	const port = await listen(server, parseAddress(address));
	return {
		port,
		setTlsCredentials(newCredentials) {
			tlsServer?.setSecureContext(newCredentials);
		},
		async stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
