import {createServer, request} from 'node:http';
import {type AddressInfo} from 'node:net';
import {parseAddress} from '../../src/http/parse-address.js';

/** A way to the store on which some calls get no response. */
type StoreProxy = {
	readonly address: string;
	readonly stop: () => void;
};

/** Starts the proxy on a free port; calls whose path does not pass get no response. */
export async function createStoreProxy(store: string, passes: (path: string) => boolean): Promise<StoreProxy> {
	const {host, port} = parseAddress(store);
	const server = createServer((req, res) => {
		if (!passes(req.url!)) {
			return;
		}

		req.pipe(request({
			host, port, path: req.url, method: req.method, headers: req.headers,
		}, answer => {
			res.writeHead(answer.statusCode!, answer.headers);
			answer.pipe(res);
		}).on('error', () => {
			res.destroy();
		}));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
