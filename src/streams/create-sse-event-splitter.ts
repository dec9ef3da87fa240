import {createByteBuffer} from '../util/create-byte-buffer.js';
import {createSseEventScanner} from './create-sse-event-scanner.js';
import {type SseEventSplitter} from './sse-event-splitter.js';

const empty = Buffer.alloc(0);
const idLine = /^id: ?(.*)$/gmv;

/**
Creates a reader of a `text/event-stream` body.

@param holdsBack - Whether only complete events are passed on, so that another upstream can continue the stream; otherwise all bytes are, as they arrive.
*/
export function createSseEventSplitter(holdsBack: boolean): SseEventSplitter {
	const held = createByteBuffer();
	let scanner = createSseEventScanner();
	let lastId: string | undefined;
	let hasEvents = false;
	let isDeclared = false;

	const completeEvents = (lastBytes: Buffer): Buffer => held.length() === 0 ? lastBytes : Buffer.concat([held.take(), lastBytes]);

	const recordLastId = (events: Buffer): void => {
		const id = [...events.toString('latin1').matchAll(idLine)].at(-1)?.[1];
		lastId = id?.trim() ?? lastId;
	};

	return {
		holdsBack,
		begin(isThisDeclared) {
			const wasDeclared = hasEvents && isDeclared;
			isDeclared ||= isThisDeclared;
			return wasDeclared;
		},
		push(chunk) {
			const end = scanner.scan(chunk);
			hasEvents ||= end > 0;
			if (!holdsBack) {
				return chunk;
			}

			if (end === 0) {
				held.append(chunk);
				return empty;
			}

			const events = completeEvents(chunk.subarray(0, end));
			held.append(chunk.subarray(end));
			recordLastId(events);
			return events;
		},
		flush: () => held.take(),
		unfinishedBytes: () => scanner.unfinishedBytes(),
		hasEvents: () => hasEvents,
		reset() {
			held.clear();
			scanner = createSseEventScanner();
		},
		lastEventId: () => lastId,
		canResume: () => !hasEvents || lastId !== undefined,
	};
}
