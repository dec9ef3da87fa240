import {connect, createServer, type Socket} from 'node:net';
import {parseAddress} from '../../src/http/parse-address.js';
import {findTestPorts} from './find-test-ports.js';

/**
How the link between a host and an upstream fails:
- `silent`: nothing passes, also on new connections;
- `reset`: open connections are reset, new ones refused;
- `refused`: new connections are refused, open ones live on.
*/
export type LinkFault = 'silent' | 'reset' | 'refused';

/** A loopback relay between one host and one upstream, which can be cut. */
export type Link = {
	readonly address: string;
	readonly cut: (fault: LinkFault) => Promise<void>;
	readonly heal: () => Promise<void>;
	/** Number of connections that the host opened, failed ones not counted. */
	readonly countOpened: () => number;
	readonly stop: () => void;
};

/** Starts the relay on a free port. */
export async function createLink(target: string): Promise<Link> {
	const [port] = await findTestPorts(1);
	const {host, port: targetPort} = parseAddress(target);
	const open = new Set<readonly [Socket, Socket]>();
	let isSilent = false;
	let opened = 0;

	const server = createServer({allowHalfOpen: true}, socket => {
		opened++;
		const upstream = connect({host, port: targetPort, allowHalfOpen: true});
		const pair = [socket, upstream] as const;
		open.add(pair);
		const end = (): void => {
			open.delete(pair);
			socket.resetAndDestroy();
			upstream.resetAndDestroy();
		};

		for (const [from, to] of [pair, [upstream, socket] as const]) {
			from.on('data', chunk => {
				// Bytes that a partition holds up are lost.
				if (!isSilent) {
					to.write(chunk);
				}
			}).on('end', () => {
				if (!isSilent) {
					to.end();
				}
			}).on('error', () => {
				if (!isSilent) {
					end();
				}
			}).on('close', () => {
				if (!isSilent && socket.destroyed && upstream.destroyed) {
					open.delete(pair);
				}
			});
		}
	});

	const resetConnections = (): void => {
		for (const [socket, upstream] of open) {
			socket.resetAndDestroy();
			upstream.resetAndDestroy();
		}

		open.clear();
	};

	const listen = async (): Promise<void> => new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	await listen();
	return {
		address: `127.0.0.1:${port}`,
		async cut(fault) {
			isSilent = fault === 'silent';
			if (fault === 'reset') {
				resetConnections();
			}

			if (!isSilent) {
				server.close();
			}
		},
		async heal() {
			if (isSilent) {
				isSilent = false;
				resetConnections();
			}

			if (!server.listening) {
				await listen();
			}
		},
		countOpened: () => opened,
		stop() {
			server.close();
			resetConnections();
		},
	};
}
