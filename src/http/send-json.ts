import {type ServerResponse} from 'node:http';

/** Ends `res` with a JSON body. Does nothing when the headers have already been sent. */
export function sendJson(res: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
	if (res.headersSent) {
		return;
	}

	const text = JSON.stringify(body);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text)), ...headers});
	res.end(text);
}
