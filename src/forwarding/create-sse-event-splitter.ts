import {type SseEventSplitter} from './sse-event-splitter.js';

const empty = Buffer.alloc(0);
const separator = Buffer.from('\n\n');
const idLine = /^id: ?(.*)$/gmv;

/** Creates the splitter of a stream of events (`text/event-stream`) into whole events. */
export function createSseEventSplitter(): SseEventSplitter {
	let rest: Buffer = empty;
	let lastId: string | undefined;
	let hasPassed = false;
	return {
		push(chunk) {
			const all = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
			const at = all.lastIndexOf(separator);
			if (at === -1) {
				rest = all;
				return empty;
			}

			hasPassed = true;
			const whole = all.subarray(0, at + separator.length);
			rest = all.subarray(at + separator.length);
			const id = [...whole.toString('latin1').matchAll(idLine)].at(-1)?.[1];
			lastId = id?.trim() ?? lastId;
			return whole;
		},
		flush() {
			const last = rest;
			rest = empty;
			return last;
		},
		reset() {
			rest = empty;
		},
		lastEventId: () => lastId,
		canResume: () => !hasPassed || lastId !== undefined,
	};
}
