let requestCount = 0;

/** What a test's request differs in from a plain read. */
type RawRequestOptions = {
	readonly method?: string;
	readonly target?: string;
	readonly host?: string;
	readonly id?: string;
	readonly key?: string;
	readonly deadlineMs?: number;
	/** Further header lines, each with its line end. */
	readonly headers?: string;
	readonly body?: string;
	/** Whether the connection is kept after the answer. */
	readonly keepAlive?: boolean;
};

/** Gives the bytes of a caller's request. */
export function buildRawRequest(options: RawRequestOptions = {}): string {
	const {method = 'GET', target = '/read/x', host = 'app.example', id = `request-${requestCount++}`, key = 'key-1'} = options;
	const {deadlineMs = 1200, headers = '', body = '', keepAlive = false} = options;
	const length = body === '' ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`;
	const known = `Host: ${host}\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\nX-Api-Key: ${key}\r\n`;
	return `${method} ${target} HTTP/1.1\r\n${known}${headers}${length}${keepAlive ? '' : 'Connection: close\r\n'}\r\n${body}`;
}
