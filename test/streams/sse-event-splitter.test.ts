import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createSseEventScanner} from '../../src/streams/create-sse-event-scanner.js';
import {createSseEventSplitter} from '../../src/streams/create-sse-event-splitter.js';

const cutAt = (text: string, cuts: readonly number[]): Buffer[] => {
	const bounds = [0, ...cuts.map(cut => Math.min(cut, text.length)).toSorted((a, b) => a - b), text.length];
	return bounds.slice(1).map((bound, index) => Buffer.from(text.slice(bounds[index], bound)));
};

const lineEnds = ['\n', '\r\n', '\r'];
const line = fc.array(fc.constantFrom('a', 'b', ':', ' '), {minLength: 1, maxLength: 5}).map(letters => letters.join(''));
const events = fc.array(fc.array(line, {minLength: 1, maxLength: 3}), {maxLength: 4});

describe('the end of a stream of events', () => {
	test.each([
		['no byte', '', 0],
		['a whole event', 'data: a\n\n', 0],
		['a whole event with CRLF', 'data: a\r\n\r\n', 0],
		['a whole event with CR', 'data: a\r\r', 0],
		['a line', 'data: a\n', 8],
		['a line with CRLF', 'data: a\r\n', 9],
		['all but the last LF of CRLF', 'data: a\r\n\r', 10],
		['a second event without its empty line', 'data: a\n\ndata: b\n', 8],
		['a comment line', 'data: a\n\n: still here\n\n', 0],
	])('after %s is found, however the bytes are cut', (_, text, unfinishedBytes) => {
		for (let cut = 0; cut <= text.length; cut++) {
			const scanner = createSseEventScanner();
			for (const piece of cutAt(text, [cut])) {
				scanner.scan(piece);
			}

			expect(scanner.unfinishedBytes()).toBe(unfinishedBytes);
		}
	});
});

describe('a split stream', () => {
	test('passes on each event once and whole, however the bytes are cut', () => {
		fc.assert(fc.property(events, fc.constantFrom(...lineEnds), line, fc.array(fc.nat(80), {maxLength: 12}), (lines, lineEnd, rest, cuts) => {
			const complete = lines.map(event => event.map(text => text + lineEnd).join('') + lineEnd).join('');
			const splitter = createSseEventSplitter(true);
			const passedOn = cutAt(complete + rest, cuts).map(piece => splitter.push(piece).toString()).join('');
			expect(passedOn).toBe(complete);
		}), {seed: 5, numRuns: 500});
	});

	test('continues after the last event that was passed on', () => {
		const splitter = createSseEventSplitter(true);
		splitter.push(Buffer.from('id: 7\r\ndata: a\r\n\r\nid: 8\r\nda'));
		splitter.reset();
		expect([splitter.lastEventId(), splitter.canResume(), splitter.push(Buffer.from('id: 8\r\n\r\n')).toString()]).toEqual(['7', true, 'id: 8\r\n\r\n']);
	});
});
