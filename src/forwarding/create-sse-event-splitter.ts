import {type SseEventSplitter} from './sse-event-splitter.js';

const empty = Buffer.alloc(0);
const eventSeparator = Buffer.from('\n\n');
const idLine = /^id: ?(.*)$/gmv;

/** Creates a splitter that passes on only complete events of a `text/event-stream` body. */
export function createSseEventSplitter(): SseEventSplitter {
	let buffered: Buffer = empty;
	let lastId: string | undefined;
	let hasEmitted = false;
	return {
		push(chunk) {
			const combined = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
			const lastSeparator = combined.lastIndexOf(eventSeparator);
			if (lastSeparator === -1) {
				buffered = combined;
				return empty;
			}

			hasEmitted = true;
			const completeEvents = combined.subarray(0, lastSeparator + eventSeparator.length);
			buffered = combined.subarray(lastSeparator + eventSeparator.length);
			const id = [...completeEvents.toString('latin1').matchAll(idLine)].at(-1)?.[1];
			lastId = id?.trim() ?? lastId;
			return completeEvents;
		},
		flush() {
			const remaining = buffered;
			buffered = empty;
			return remaining;
		},
		reset() {
			buffered = empty;
		},
		lastEventId: () => lastId,
		canResume: () => !hasEmitted || lastId !== undefined,
	};
}
