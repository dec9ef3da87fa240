import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import polka from 'polka';
import {listen} from '../http/listen.js';
import {parseAddress} from '../http/parse-address.js';
import {readBody} from '../http/read-body.js';
import {sendJson} from '../http/send-json.js';
import {type OperatorHandlers} from './operator-handlers.js';

const maxBodyBytes = 64 * 1024;

/** The HTTP server for operators. */
type OperatorServer = {
	readonly port: number;
	readonly stop: () => Promise<void>;
};

/**
Starts the HTTP server for operators.

@param allowFaults - Whether to serve `/faults`, which sets fault switches; only for tests.
*/
export async function createOperatorServer(address: string, handlers: OperatorHandlers, allowFaults: boolean): Promise<OperatorServer> {
	const server = createServer();
	const app = polka({server});

	/** Creates a handler that parses a JSON body; responds with 400 when parsing or `handle` fails. */
	const withBody = (handle: (body: any) => void) => async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		try {
			handle(JSON.parse(await readBody(req, maxBodyBytes) || '{}'));
			sendJson(res, 200, {});
		} catch (error) {
			sendJson(res, 400, {error: String(error)});
		}
	};

	app.get('/healthz', ((_req: IncomingMessage, res: ServerResponse) => {
		sendJson(res, 200, {healthy: true});
	}) as never);
	app.get('/readyz', ((_req: IncomingMessage, res: ServerResponse) => {
		const ready = handlers.isReady();
		sendJson(res, ready ? 200 : 503, {ready});
	}) as never);
	app.get('/metrics', (async (_req: IncomingMessage, res: ServerResponse) => {
		const text = await handlers.metrics();
		res.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
		res.end(text);
	}) as never);
	app.get('/status', ((_req: IncomingMessage, res: ServerResponse) => {
		sendJson(res, 200, handlers.status());
	}) as never);
	app.get('/explain/:requestId', (async (req: IncomingMessage & {readonly params: {readonly requestId: string}}, res: ServerResponse) => {
		const decisions = await handlers.explain(req.params.requestId);
		sendJson(res, decisions.length > 0 ? 200 : 404, {requestId: req.params.requestId, decisions});
	}) as never);
	app.post('/mark', withBody(({upstream, leaving}: {readonly upstream: string; readonly leaving: boolean}) => {
		handlers.mark(upstream, leaving);
	}) as never);
	app.post('/drain', withBody(() => {
		handlers.drain();
	}) as never);
	if (allowFaults) {
		app.post('/faults', withBody(handlers.setFaults) as never);
	}

	server.on('request', app.handler as never);
	const port = await listen(server, parseAddress(address));
	return {
		port,
		async stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
