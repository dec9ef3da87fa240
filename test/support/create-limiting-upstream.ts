import {type Socket} from 'node:net';
import {sleep} from '../../src/util/sleep.js';
import {createUpstreamServer, type ReceivedRequest, type UpstreamServer} from './create-upstream-server.js';

/** How the stand-in responds to a request, given the header lines that state its limit. */
export type LimitedResponse = (received: ReceivedRequest, socket: Socket, statement: string) => void;

/** A stand-in for an upstream that states a limit on requests a second in its responses. */
export type LimitingUpstream = {
	readonly server: UpstreamServer;
	/** What it states, as the text of the header; `undefined` for nothing. */
	limit: string | undefined;
	respond: LimitedResponse;
	/** When each request arrived, in milliseconds of the monotonic clock. */
	readonly arrivals: readonly number[];
};

const workMs = 20;

/** Writes a complete response with the statement. */
export function respondWithSuccess(received: ReceivedRequest, socket: Socket, statement: string): void {
	const id = received.headers.get('request-id');
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: seal-of-${id}\r\n${statement}Content-Length: 5\r\n\r\nwhole`);
}

/** Starts the stand-in on a free port. */
export async function createLimitingUpstream(limit?: string): Promise<LimitingUpstream> {
	const server = await createUpstreamServer();
	const arrivals: number[] = [];
	const upstream: LimitingUpstream = {
		server, limit, respond: respondWithSuccess, arrivals,
	};
	server.answer = async (received, socket) => {
		arrivals.push(performance.now());
		const statement = upstream.limit === undefined ? '' : `Server-Limit: ${upstream.limit}\r\n`;
		await sleep(workMs);
		upstream.respond(received, socket, statement);
	};

	return upstream;
}
