import {createServer, type IncomingMessage, type Server} from 'node:http';
import {type Socket} from 'node:net';
import polka from 'polka';
import {type LimitReason} from '../callers/limit-reason.js';
import {createEndingConnections} from '../http/create-ending-connections.js';
import {limitConnections} from '../http/limit-connections.js';
import {listen} from '../http/listen.js';
import {parseAddress} from '../http/parse-address.js';

/** Requests to these paths are short and have no body. */
const headersTimeoutMs = 3000;
const requestTimeoutMs = 5000;
const connectionCheckIntervalMs = 1000;
const maxHeaderBytes = 16 * 1024;

/** A path and its response. */
type StatusPath = {
	readonly path: string;
	readonly answer: () => Promise<{readonly status: number; readonly text: string}> | {readonly status: number; readonly text: string};
};

/** Limits of a status server. */
type StatusServerLimits = {
	readonly maxConnections: number;
	readonly onLimit: (reason: LimitReason) => void;
};

/** Starts an HTTP server that responds to GET requests of the given paths with plain text. */
export async function createStatusServer(address: string, paths: readonly StatusPath[], limits: StatusServerLimits): Promise<{readonly stop: () => void}> {
	const server: Server = createServer({
		headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs, connectionsCheckingInterval: connectionCheckIntervalMs, maxHeaderSize: maxHeaderBytes,
	});
	const ending = createEndingConnections();
	const busySockets = new Set<Socket>();
	limitConnections(server, {
		maxConnections: limits.maxConnections,
		isBusy: socket => busySockets.has(socket),
		freeOne: () => false,
		onLimit: limits.onLimit,
	});
	const app = polka({server});
	for (const {path, answer} of paths) {
		app.get(path, async (_req, res) => {
			const {status, text} = await answer();
			res.writeHead(status, {'content-type': 'text/plain', 'content-length': String(Buffer.byteLength(text))});
			res.end(text);
		});
	}

	server.on('request', (req: IncomingMessage, res) => {
		const {socket} = req;
		if (!ending.accept(req)) {
			return;
		}

		if (!req.complete && (req.headers['transfer-encoding'] !== undefined || Number(req.headers['content-length'] ?? 0) > 0)) {
			res.setHeader('connection', 'close');
			ending.endAfterAnswer(req);
		}

		busySockets.add(socket);
		res.once('close', () => busySockets.delete(socket));
		app.handler(req as never, res);
	});
	await listen(server, parseAddress(address));
	return {
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
