import {describe, expect, test} from 'vitest';
import {findStreamFault} from '../../../src/decide/forwarding/find-stream-fault.js';
import {isEventStream} from '../../../src/decide/forwarding/is-event-stream.js';

const ended = {
	framing: 'chunked' as const, isDeclared: true, unfinishedEventBytes: 0, hasEvents: true, wasDeclared: false, eventBytes: 20, isResumedByCaller: false,
};
const insideEvent = 'the stream ended inside an event';
const beforeFirstEvent = 'the connection was closed before the first event';

describe('a stream whose response ended', () => {
	test.each([
		['after an event', {}, undefined],
		['after an event, with its connection', {framing: 'close'}, undefined],
		['inside an event', {unfinishedEventBytes: 3}, insideEvent],
		['inside an event, with its connection', {framing: 'close', unfinishedEventBytes: 3}, insideEvent],
		['inside an event, with no media type', {isDeclared: false, unfinishedEventBytes: 3}, insideEvent],
		['inside its first event, with its connection and no media type', {
			framing: 'close', isDeclared: false, hasEvents: false, unfinishedEventBytes: 3,
		}, insideEvent],
		['by its length, with bytes that are no event and no media type', {
			framing: 'length', isDeclared: false, hasEvents: false, unfinishedEventBytes: 3,
		}, undefined],
		['before any event, with its connection', {framing: 'close', hasEvents: false}, beforeFirstEvent],
		['before any event, by its chunks', {hasEvents: false}, undefined],
		['before any event, with its connection, after the last event that the caller has', {
			framing: 'close', hasEvents: false, isResumedByCaller: true,
		}, undefined],
		['without an event, after another upstream has broken off', {wasDeclared: true, eventBytes: 0}, undefined],
		['without an event and with no media type, after another upstream has broken off', {
			wasDeclared: true, eventBytes: 0, isDeclared: false,
		}, 'no upstream says that the stream has ended'],
	] as const)('%s', (_, changed, expected) => {
		expect(findStreamFault({...ended, ...changed})).toBe(expected);
	});
});

describe('a response on a streaming route', () => {
	test.each([
		[200, 'text/event-stream', true],
		[200, undefined, true],
		[204, undefined, false],
		[200, 'application/json', false],
		[404, undefined, false],
		[404, 'text/event-stream', false],
	] as const)('with status %s and media type %s', (status, mediaType, expected) => {
		expect(isEventStream({status, mediaType})).toBe(expected);
	});
});
