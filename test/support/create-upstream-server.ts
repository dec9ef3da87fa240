import {
	createServer, type Socket, type Server, type AddressInfo,
} from 'node:net';

/** A request as it arrived. */
export type ReceivedRequest = {
	readonly method: string;
	readonly target: string;
	readonly headers: ReadonlyMap<string, string>;
	readonly rawHeaders: string;
	readonly body: Buffer;
	readonly connection: number;
};

/** Answers a request by writing to the socket; by default a signed whole answer. */
export type RequestHandler = (arrived: ReceivedRequest, socket: Socket) => void;

/** A stand-in for an upstream that speaks HTTP/1.1 byte for byte, so that answers can be spoilt in any way. */
export type UpstreamServer = {
	readonly address: string;
	readonly receivedRequests: ReceivedRequest[];
	/** Connections that callers have closed. */
	readonly closedConnections: number[];
	answer: RequestHandler;
	readonly stop: () => void;
};

/** Writes a whole, signed answer. */
export function sendSignedResponse(arrived: ReceivedRequest, socket: Socket, body = 'whole answer', status = '200 OK', headers = ''): void {
	const id = arrived.headers.get('request-id');
	socket.write(`HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\nResponse-Seal: seal-of-${id}\r\n${headers}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
}

function parseHead(text: string): Omit<ReceivedRequest, 'body' | 'connection'> {
	const [first = '', ...lines] = text.split('\r\n');
	const [method = '', target = ''] = first.split(' ');
	return {
		method, target, rawHeaders: text,
		headers: new Map(lines.map(line => {
			const at = line.indexOf(':');
			return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
		})),
	};
}

/** Starts the stand-in on a free port. */
export async function createUpstreamServer(): Promise<UpstreamServer> {
	const sockets = new Set<Socket>();
	const receivedRequests: ReceivedRequest[] = [];
	const closedConnections: number[] = [];
	let connections = 0;

	const server: Server = createServer(socket => {
		const connection = connections++;
		sockets.add(socket);
		socket.on('close', () => {
			sockets.delete(socket);
			closedConnections.push(connection);
		});
		socket.on('error', () => undefined);
		let rest = Buffer.alloc(0);
		socket.on('data', chunk => {
			rest = Buffer.concat([rest, chunk]);
			for (;;) {
				const at = rest.indexOf('\r\n\r\n');
				if (at === -1) {
					return;
				}

				const head = parseHead(rest.subarray(0, at).toString('latin1'));
				const length = Number(head.headers.get('content-length') ?? 0);
				if (rest.length < at + 4 + length) {
					return;
				}

				const body = rest.subarray(at + 4, at + 4 + length);
				rest = rest.subarray(at + 4 + length);
				const request = {...head, body, connection};
				receivedRequests.push(request);
				standIn.answer(request, socket);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const standIn: UpstreamServer = {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		receivedRequests,
		closedConnections,
		answer: sendSignedResponse,
		stop() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
	return standIn;
}
