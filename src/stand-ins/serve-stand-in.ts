import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {listen} from '../http/listen.js';
import {parseAddress} from '../http/parse-address.js';
import {readBody} from '../http/read-body.js';
import {sendJson} from '../http/send-json.js';
import {type StandIn} from './stand-in.js';

const maxBodyBytes = 16 * 1024 * 1024;

/** Request to a stand-in. */
type StandInRequest = {
	readonly method: string;
	readonly path: string;
	readonly query: URLSearchParams;
	readonly headers: IncomingMessage['headers'];
	/** Parsed JSON body, or `undefined`. */
	readonly body: any;
	readonly res: ServerResponse;
};

/**
Serves a stand-in over HTTP.

@param address - `IP:PORT`; with port 0, the system chooses a free port.
@param handle - Returns status and JSON body of the response, or `undefined` when it writes to `res` itself.
*/
export async function serveStandIn(
	address: string,
	handle: (call: StandInRequest) => Promise<readonly [number, unknown] | undefined>,
): Promise<StandIn> {
	const server = createServer(async (req, res) => {
		try {
			const text = await readBody(req, maxBodyBytes);
			const url = new URL(req.url!, 'http://stand-in');
			const response = await handle({
				method: req.method!,
				path: url.pathname,
				query: url.searchParams,
				headers: req.headers,
				body: text === '' ? undefined : JSON.parse(text),
				res,
			});
			if (response) {
				sendJson(res, response[0], response[1]);
			}
		} catch (error) {
			sendJson(res, 400, {error: String(error)});
		}
	});
	const {host, port} = parseAddress(address);
	const boundPort = await listen(server, {host, port});
	return {
		url: `http://${host}:${boundPort}`,
		async stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
