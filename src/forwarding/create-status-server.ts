import {createServer, type Server} from 'node:http';
import polka from 'polka';
import {listen} from '../http/listen.js';
import {parseAddress} from '../http/parse-address.js';

/** A path and its response. */
type StatusPath = {
	readonly path: string;
	readonly answer: () => Promise<{readonly status: number; readonly text: string}> | {readonly status: number; readonly text: string};
};

/** Starts an HTTP server that responds to GET requests of the given paths with plain text. */
export async function createStatusServer(address: string, paths: readonly StatusPath[]): Promise<{readonly stop: () => void}> {
	const server: Server = createServer();
	const app = polka({server});
	for (const {path, answer} of paths) {
		app.get(path, async (_req, res) => {
			const {status, text} = await answer();
			res.writeHead(status, {'content-type': 'text/plain', 'content-length': String(Buffer.byteLength(text))});
			res.end(text);
		});
	}

	server.on('request', app.handler as never);
	await listen(server, parseAddress(address));
	return {
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
