import {createSocket} from 'node:dgram';
import {connect, createServer} from 'node:net';

/**
Creates a proxy on a free port of the loopback address that can be cut: nothing passes then, open connections and new ones hang. When it heals, the connections
that hung are reset.

@param isCut - Whether nothing passes now.
*/
export async function createTcpLink(target, isCut) {
	const open = new Set();
	const server = createServer(client => {
		const entry = {sockets: [client], hung: isCut()};
		open.add(entry);
		const end = () => {
			open.delete(entry);
			for (const socket of entry.sockets) {
				socket.destroy();
			}
		};

		client.on('error', () => undefined);
		client.on('close', () => {
			if (!isCut()) {
				end();
			}
		});
		if (entry.hung) {
			return;
		}

		const upstream = connect(target, '127.0.0.1');
		entry.sockets.push(upstream);
		upstream.on('error', () => undefined);
		upstream.on('close', () => {
			if (!isCut()) {
				end();
			}
		});
		for (const [from, to] of [[client, upstream], [upstream, client]]) {
			from.on('data', chunk => {
				if (isCut() || entry.hung) {
					// Bytes that the partition holds up are lost when the connection is reset.
					entry.hung = true;
				} else {
					to.write(chunk);
				}
			});
		}
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		port: server.address().port,
		heal() {
			for (const entry of open) {
				if (entry.hung) {
					open.delete(entry);
					for (const socket of entry.sockets) {
						socket.resetAndDestroy();
					}
				}
			}
		},
		stop() {
			server.close();
			for (const {sockets} of open) {
				for (const socket of sockets) {
					socket.destroy();
				}
			}
		},
	};
}

/** Creates a relay of datagrams that rewrites the addresses in them; while it is cut, they are lost. It listens at the port of a TCP link. */
export async function createDatagramLink(port, target, isCut, rewrite) {
	const socket = createSocket('udp4');
	socket.on('error', () => undefined);
	socket.on('message', bytes => {
		if (!isCut()) {
			socket.send(rewrite(bytes.toString()), target, '127.0.0.1', () => undefined);
		}
	});
	await new Promise(resolve => {
		socket.bind(port, '127.0.0.1', resolve);
	});
	return {
		stop() {
			socket.close();
		},
	};
}
