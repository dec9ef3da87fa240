import {
	createServer, type Socket, type Server, type AddressInfo,
} from 'node:net';
import {findTestPorts} from './find-test-ports.js';

/** A request as the stand-in received it. */
export type ReceivedRequest = {
	readonly method: string;
	readonly target: string;
	readonly headers: ReadonlyMap<string, string>;
	readonly rawHeaders: string;
	readonly body: Buffer;
	readonly connection: number;
};

/** Writes the response to a request to the socket. */
export type RequestHandler = (received: ReceivedRequest, socket: Socket) => void;

/** A stand-in for an upstream that writes raw HTTP/1.1 bytes, so that tests can send malformed or incomplete responses. */
export type UpstreamServer = {
	readonly address: string;
	readonly receivedRequests: ReceivedRequest[];
	/** Numbers of the closed connections. */
	readonly closedConnections: number[];
	answer: RequestHandler;
	readonly stop: () => void;
};

/** Writes a complete response with a seal. */
export function sendSignedResponse(received: ReceivedRequest, socket: Socket, body = 'whole answer', status = '200 OK', headers = ''): void {
	const id = received.headers.get('request-id');
	socket.write(`HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\nResponse-Seal: seal-of-${id}\r\n${headers}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
}

function parseHead(text: string): Omit<ReceivedRequest, 'body' | 'connection'> {
	const [requestLine = '', ...lines] = text.split('\r\n');
	const [method = '', target = ''] = requestLine.split(' ');
	return {
		method, target, rawHeaders: text,
		headers: new Map(lines.map(line => {
			const separatorIndex = line.indexOf(':');
			return [line.slice(0, separatorIndex).toLowerCase(), line.slice(separatorIndex + 1).trim()];
		})),
	};
}

/** Starts the stand-in, on a port that no other one gets after it has stopped if none is given. */
export async function createUpstreamServer(port?: number): Promise<UpstreamServer> {
	const [chosen] = port === undefined ? await findTestPorts(1) : [port];
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
		let unparsed = Buffer.alloc(0);
		socket.on('data', chunk => {
			unparsed = Buffer.concat([unparsed, chunk]);
			for (;;) {
				const headEnd = unparsed.indexOf('\r\n\r\n');
				if (headEnd === -1) {
					return;
				}

				const head = parseHead(unparsed.subarray(0, headEnd).toString('latin1'));
				const bodyLength = Number(head.headers.get('content-length') ?? 0);
				if (unparsed.length < headEnd + 4 + bodyLength) {
					return;
				}

				const body = unparsed.subarray(headEnd + 4, headEnd + 4 + bodyLength);
				unparsed = unparsed.subarray(headEnd + 4 + bodyLength);
				const request = {...head, body, connection};
				receivedRequests.push(request);
				standIn.answer(request, socket);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(chosen, '127.0.0.1', resolve);
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
