import {connect, type Socket} from 'node:net';

/** What came back on a connection. */
export type RawResponse = {
	readonly status: number;
	readonly headers: ReadonlyMap<string, string>;
	readonly body: string;
	/** Whether the answer ended as its framing says. */
	readonly isWhole: boolean;
	readonly text: string;
};

function readChunks(text: string): {body: string; isWhole: boolean} {
	let rest = text;
	let body = '';
	for (;;) {
		const at = rest.indexOf('\r\n');
		const size = Number.parseInt(rest.slice(0, at), 16);
		if (at === -1 || Number.isNaN(size)) {
			return {body, isWhole: false};
		}

		if (size === 0) {
			return {body, isWhole: true};
		}

		if (rest.length < at + 2 + size + 2) {
			return {body: body + rest.slice(at + 2), isWhole: false};
		}

		body += rest.slice(at + 2, at + 2 + size);
		rest = rest.slice(at + 2 + size + 2);
	}
}

/** Parses one answer; interim answers are passed over. */
export function parseRawResponse(text: string): RawResponse {
	const at = text.indexOf('\r\n\r\n');
	const [first = '', ...lines] = text.slice(0, Math.max(0, at)).split('\r\n');
	const status = Number(first.split(' ')[1] ?? 0);
	const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	const rest = text.slice(at + 4);
	const length = headers.get('content-length');
	if (headers.get('transfer-encoding') === 'chunked') {
		return {
			status, headers, ...readChunks(rest), text,
		};
	}

	const body = length === undefined ? rest : rest.slice(0, Number(length));
	return {
		status, headers, body, isWhole: at !== -1 && (length === undefined || body.length === Number(length)), text,
	};
}

/**
Sends bytes on a new connection and gives all that comes back until the other side closes it.

@param onSocket - Called with the socket once the bytes are written.
*/
export async function sendRawRequest(address: string, bytes: string | Buffer, onSocket: (socket: Socket) => void = () => undefined): Promise<RawResponse> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const chunks: Buffer[] = [];
		const socket = connect(Number(port), host);
		socket.on('data', chunk => {
			chunks.push(chunk);
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(parseRawResponse(Buffer.concat(chunks).toString('latin1')));
		});
		socket.write(bytes, () => {
			onSocket(socket);
		});
	});
}
