import {type Socket} from 'node:net';
import {buildRawRequest} from './build-raw-request.js';
import {sendSignedResponse, type ReceivedRequest} from './create-upstream-server.js';
import {type RawResponse, sendRawRequest} from './send-raw-request.js';

/** Number of events of a stream. */
export const eventCount = 8;
const firstEvents = 4;

/** Software version of an upstream, which it writes into each event. */
export type Version = 'v1' | 'v2';
/** A stream whose first events have reached its caller. */
export type BegunStream = {readonly id: string; readonly version: Version};

const toChunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
const toEvents = (from: number, to: number, version: Version): string =>
	Array.from({length: to - from}, (_, index) => `id: ${from + index}\ndata: ${version}\n\n`).join('');

/** Streams the first events; a stream that is taken up is streamed to its end. */
export function respondWithVersion(version: Version, received: ReceivedRequest, socket: Socket): void {
	const {headers, target} = received;
	if (!target.startsWith('/ask/')) {
		sendSignedResponse(received, socket);
		return;
	}

	const after = headers.get('last-event-id');
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${headers.get('request-id')}\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
	socket.write(after === undefined
		? toChunk(toEvents(0, firstEvents, version))
		: `${toChunk(toEvents(Number(after) + 1, eventCount, version))}0\r\n\r\n`);
}

/** Returns the versions of the events in a response. */
export const listVersions = (text: string): readonly Version[] => [...text.matchAll(/data: (v\d)/gv)].map(match => match[1] as Version);

/** Gets the first events of a stream and closes the connection. */
export async function beginStream(callers: string, id: string, headers = ''): Promise<BegunStream> {
	const response = await sendRawRequest(callers, buildRawRequest({
		target: `/ask/${id}`, id, deadlineMs: 4000, headers,
	}), socket => {
		let text = '';
		socket.on('data', chunk => {
			text += String(chunk);
			if (text.includes(`id: ${firstEvents - 1}\n`)) {
				socket.end();
			}
		});
	});
	return {id, version: listVersions(response.text)[0]!};
}

/** Takes a stream up after its first events, at the host with the given address for callers. */
export async function takeUpStream(callers: string, {id}: BegunStream, index: number): Promise<RawResponse> {
	return sendRawRequest(callers, buildRawRequest({
		target: `/ask/${id}`, id: `second-${index}-${id}`, deadlineMs: 3000, headers: `Last-Event-Id: ${firstEvents - 1}\r\nResumes: ${id}\r\n`,
	}));
}
