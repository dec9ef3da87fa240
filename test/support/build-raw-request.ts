let requestCount = 0;

/** Fields in which a request differs from the default `GET /read/x`. */
type RawRequestOptions = {
	readonly method?: string;
	readonly target?: string;
	readonly host?: string;
	readonly id?: string;
	readonly key?: string;
	readonly deadlineMs?: number;
	/** Additional header lines, each terminated by CRLF. */
	readonly headers?: string;
	readonly body?: string;
	/** Whether the connection stays open after the response. */
	readonly keepAlive?: boolean;
};

/** Returns the text of an HTTP/1.1 request as a caller sends it. */
export function buildRawRequest(options: RawRequestOptions = {}): string {
	const {method = 'GET', target = '/read/x', host = 'app.example', id = `request-${requestCount++}`, key = 'key-1'} = options;
	const {deadlineMs = 1200, headers = '', body = '', keepAlive = false} = options;
	const length = body === '' ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`;
	const known = `Host: ${host}\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\nX-Api-Key: ${key}\r\n`;
	return `${method} ${target} HTTP/1.1\r\n${known}${headers}${length}${keepAlive ? '' : 'Connection: close\r\n'}\r\n${body}`;
}
