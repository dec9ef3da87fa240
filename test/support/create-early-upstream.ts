import {createServer, type AddressInfo, type Socket} from 'node:net';

/** Called with the id of a request as soon as its head has arrived; its socket is read no further. */
export type EarlyHandler = (id: string, socket: Socket) => void;

/** A stand-in for an upstream that answers a request before it has read the body. */
export type EarlyUpstream = {
	readonly address: string;
	/** Ids of the requests whose heads have arrived. */
	readonly received: string[];
	answer: EarlyHandler;
	readonly stop: () => void;
};

const sealedHead = (id: string): string => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\n`;

/** Starts the stand-in on a free port. */
export async function createEarlyUpstream(): Promise<EarlyUpstream> {
	const sockets = new Set<Socket>();
	const server = createServer({allowHalfOpen: true}, socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		let text = '';
		const onData = (chunk: Buffer): void => {
			text += chunk.toString('latin1');
			const headEnd = text.indexOf('\r\n\r\n');
			if (headEnd === -1) {
				return;
			}

			const head = text.slice(0, headEnd);
			const id = /^request-id: (?<id>.*)$/imv.exec(head)?.groups?.id?.trim() ?? '';
			if (!head.includes(' /health ')) {
				socket.pause();
				socket.off('data', onData);
				standIn.received.push(id);
				standIn.answer(id, socket);
				return;
			}

			text = text.slice(headEnd + 4);
			socket.write(`${sealedHead(id)}Content-Length: 0\r\n\r\n`);
		};

		socket.on('data', onData);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const standIn: EarlyUpstream = {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		received: [],
		answer: () => undefined,
		stop() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
	return standIn;
}
