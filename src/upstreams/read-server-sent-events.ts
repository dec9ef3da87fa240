import {createSseEventSplitter} from '../streams/create-sse-event-splitter.js';

const maxEventBytes = 1024 * 1024;
const lineEnd = /\r\n|\r|\n/v;
const dataField = 'data: ';

/** Yields the text of the `data` fields of each event in `text`, which holds only complete events. */
function * parseEvents(text: string): Generator<string> {
	let data: string[] = [];
	for (const line of text.split(lineEnd)) {
		if (line.startsWith(dataField)) {
			data.push(line.slice(dataField.length));
		} else if (line === '' && data.length > 0) {
			yield data.join('\n');
			data = [];
		}
	}
}

/**
Yields the text of the `data` fields of each event in a stream of server-sent events.

@throws {Error} When an event is too long.
*/
export async function * readServerSentEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
	const splitter = createSseEventSplitter(true);
	for await (const chunk of body) {
		const events = splitter.push(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength));
		if (splitter.unfinishedBytes() > maxEventBytes) {
			throw new Error(`an event is longer than ${maxEventBytes} bytes`);
		}

		yield * parseEvents(events.toString('utf8'));
	}
}
