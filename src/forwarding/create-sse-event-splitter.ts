import {createByteBuffer} from '../util/create-byte-buffer.js';
import {createSseEventScanner} from './create-sse-event-scanner.js';
import {type SseEventSplitter} from './sse-event-splitter.js';

const empty = Buffer.alloc(0);
const idLine = /^id: ?(.*)$/gmv;

/** Creates a splitter that passes on only complete events of a `text/event-stream` body. */
export function createSseEventSplitter(): SseEventSplitter {
	const held = createByteBuffer();
	let scanner = createSseEventScanner();
	let lastId: string | undefined;
	let hasEmitted = false;

	const completeEvents = (lastBytes: Buffer): Buffer => held.length() === 0 ? lastBytes : Buffer.concat([held.take(), lastBytes]);

	return {
		push(chunk) {
			const end = scanner.scan(chunk);
			if (end === 0) {
				held.append(chunk);
				return empty;
			}

			hasEmitted = true;
			const events = completeEvents(chunk.subarray(0, end));
			held.append(chunk.subarray(end));
			const id = [...events.toString('latin1').matchAll(idLine)].at(-1)?.[1];
			lastId = id?.trim() ?? lastId;
			return events;
		},
		flush: () => held.take(),
		reset() {
			held.clear();
			scanner = createSseEventScanner();
		},
		lastEventId: () => lastId,
		canResume: () => !hasEmitted || lastId !== undefined,
	};
}
