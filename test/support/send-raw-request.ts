import {connect, type Socket} from 'node:net';

/** A response read from a connection. */
export type RawResponse = {
	readonly status: number;
	readonly headers: ReadonlyMap<string, string>;
	readonly body: string;
	/** Whether the body is complete according to its framing. */
	readonly isWhole: boolean;
	/** Whether the connection was reset. */
	readonly isReset: boolean;
	readonly text: string;
};

function readChunks(text: string): {body: string; isWhole: boolean} {
	let remaining = text;
	let body = '';
	for (;;) {
		const lineEnd = remaining.indexOf('\r\n');
		const size = Number.parseInt(remaining.slice(0, lineEnd), 16);
		if (lineEnd === -1 || Number.isNaN(size)) {
			return {body, isWhole: false};
		}

		if (size === 0) {
			return {body, isWhole: true};
		}

		if (remaining.length < lineEnd + 2 + size + 2) {
			return {body: body + remaining.slice(lineEnd + 2), isWhole: false};
		}

		body += remaining.slice(lineEnd + 2, lineEnd + 2 + size);
		remaining = remaining.slice(lineEnd + 2 + size + 2);
	}
}

/** Parses the first response in `text`. */
export function parseRawResponse(text: string, isReset = false): RawResponse {
	const headEnd = text.indexOf('\r\n\r\n');
	const [statusLine = '', ...lines] = text.slice(0, Math.max(0, headEnd)).split('\r\n');
	const status = Number(statusLine.split(' ')[1] ?? 0);
	const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	const rawBody = text.slice(headEnd + 4);
	const length = headers.get('content-length');
	if (headers.get('transfer-encoding') === 'chunked') {
		return {
			status, headers, ...readChunks(rawBody), isReset, text,
		};
	}

	const body = length === undefined ? rawBody : rawBody.slice(0, Number(length));
	return {
		status, headers, body, isWhole: headEnd !== -1 && (length === undefined || body.length === Number(length)), isReset, text,
	};
}

/**
Sends bytes on a new connection and returns the response, parsed once the connection is closed.

@param onSocket - Called with the socket after the bytes are written.
*/
export async function sendRawRequest(address: string, bytes: string | Buffer, onSocket: (socket: Socket) => void = () => undefined): Promise<RawResponse> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const chunks: Buffer[] = [];
		const socket = connect({host, port: Number(port), allowHalfOpen: true});
		let isReset = false;
		const recordFailure = (error?: Error | null): void => {
			isReset ||= Boolean(error);
		};

		socket.on('data', chunk => {
			chunks.push(chunk);
		});
		socket.on('error', recordFailure);
		// A reset along with the last bytes is reported as an end; only a write fails then.
		socket.on('end', () => {
			socket.write('', error => {
				recordFailure(error);
				socket.end();
			});
		});
		socket.on('close', () => {
			resolve(parseRawResponse(Buffer.concat(chunks).toString('latin1'), isReset));
		});
		socket.write(bytes, () => {
			onSocket(socket);
		});
	});
}
