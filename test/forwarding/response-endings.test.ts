import {type Socket} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {type ReceivedRequest} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest, type RawResponse} from '../support/send-raw-request.js';
import {startGatewayWithUpstreams, type GatewayWithUpstreams} from '../support/start-gateway-with-upstreams.js';

const deadlineMs = 2000;
/** Deadline of a request whose response never ends. */
const silenceDeadlineMs = 250;
const eventCount = 4;
/** Delay of a reset, so that it doesn't overtake the bytes before it. */
const resetDelayMs = 20;
/** Time in which a host reads that an idle connection was reset. */
const resetReadMs = 10;

type Framing = 'length' | 'chunked' | 'neither';
type End = 'close' | 'announced close' | 'reset' | 'silence';
type Place = 'no byte' | 'inside an event' | 'between events' | 'whole';
type LineEnd = 'LF' | 'CRLF';

/** How the upstream that gets a request first ends its response. */
type Ending = {
	readonly framing: Framing;
	readonly end: End;
	readonly body: string;
	/** Bytes of `body` that are sent. */
	readonly sentBytes: number;
};

/** What the caller got: a response that is complete by its framing, or one that can't be taken for complete. */
type CallerView = {readonly isWhole: true; readonly body: string} | {readonly isWhole: false};

const lineEnds: Readonly<Record<LineEnd, string>> = {LF: '\n', CRLF: '\r\n'};
const isAskingToResume = ({headers}: ReceivedRequest): boolean => headers.has('last-event-id');

const endings = new Map<string, Ending>();
/** `Last-Event-Id` of each send after the first, by request id. */
const resends = new Map<string, Array<string | undefined>>();
/** Resolve when the connection of the first response to a request is closed, by request id. */
const closings = new Map<string, Promise<void>>();
let system: GatewayWithUpstreams;

const buildEvents = (from: number, lineEnd: LineEnd, count = eventCount): string => Array.from({length: count - from}, (_, index) => {
	const newline = lineEnds[lineEnd];
	return `id: ${from + index}${newline}data: piece ${from + index}${newline}${newline}`;
}).join('');

function frame({framing, body, sentBytes}: Ending): {readonly header: string; readonly bytes: string} {
	const sent = body.slice(0, sentBytes);
	if (framing === 'length') {
		return {header: `Content-Length: ${body.length}\r\n`, bytes: sent};
	}

	if (framing === 'neither') {
		return {header: '', bytes: sent};
	}

	const chunk = sent === '' ? '' : `${sent.length.toString(16)}\r\n${sent}\r\n`;
	return {header: 'Transfer-Encoding: chunked\r\n', bytes: sentBytes === body.length ? `${chunk}0\r\n\r\n` : chunk};
}

function endConnection(socket: Socket, end: End): void {
	if (end === 'reset') {
		setTimeout(() => {
			socket.resetAndDestroy();
		}, resetDelayMs);
	} else if (end !== 'silence') {
		socket.end();
	}
}

/** Ends the first response to each request as planned; later sends get the remaining events, complete. */
function respond(received: ReceivedRequest, socket: Socket): void {
	const id = received.headers.get('request-id')!;
	const ending = endings.get(id)!;
	const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\n`;
	const earlier = resends.get(id);
	if (earlier) {
		earlier.push(received.headers.get('last-event-id'));
		const lineEnd = ending.body.includes('\r\n') ? 'CRLF' : 'LF';
		const rest = isAskingToResume(received) ? buildEvents(Number(received.headers.get('last-event-id')) + 1, lineEnd) : ending.body;
		socket.write(`${head}Content-Length: ${rest.length}\r\n\r\n${rest}`);
		return;
	}

	resends.set(id, []);
	closings.set(id, new Promise(resolve => {
		socket.once('close', () => {
			resolve();
		});
	}));
	const {header, bytes} = frame(ending);
	socket.write(`${head}${ending.end === 'announced close' ? 'Connection: close\r\n' : ''}${header}\r\n${bytes}`);
	endConnection(socket, ending.end);
}

beforeAll(async () => {
	const {routes} = platformObjects.configuration(1);
	system = await startGatewayWithUpstreams(platformObjects.configuration(1, {
		routes: [...routes, platformObjects.route({
			name: 'r-not-resumable', path_prefix: '/check/', kind: 'streaming', sticky: true, max_attempts: 2,
		})],
	}));
	for (const upstream of system.upstreams) {
		upstream.answer = respond;
	}
});

afterAll(async () => {
	await system.stop();
});

let requestCount = 0;

async function call(target: string, protocol: string, ending: Ending): Promise<{readonly id: string; readonly view: CallerView; readonly resent: ReadonlyArray<string | undefined>}> {
	const isSilent = ending.end === 'silence' && (ending.framing === 'neither' || ending.sentBytes < ending.body.length);
	const id = `ending-${requestCount++}`;
	endings.set(id, ending);
	const request = buildRawRequest({
		id, method: 'POST', target, body: 'b', deadlineMs: isSilent ? silenceDeadlineMs : deadlineMs,
	}).replace('HTTP/1.1', protocol);
	const response: RawResponse = await sendRawRequest(system.gateway.callers, request);
	const isWhole = response.status === 200 && response.isWhole && !response.isReset;
	return {id, view: isWhole ? {isWhole, body: response.body} : {isWhole: false}, resent: resends.get(id) ?? []};
}

const routes = [
	{route: 'a stream that may be resumed', target: '/ask/x', isStream: true},
	{route: 'a stream that may not be resumed', target: '/check/x', isStream: true},
	{route: 'an idempotent request', target: '/read/x', isStream: false},
	{route: 'a request that runs once', target: '/book/x', isStream: false},
];
const framings: readonly Framing[] = ['length', 'chunked', 'neither'];
const ends: readonly End[] = ['close', 'announced close', 'reset', 'silence'];
const places: readonly Place[] = ['no byte', 'inside an event', 'between events', 'whole'];
const protocols = ['HTTP/1.1', 'HTTP/1.0'];
const streamLineEnds: readonly LineEnd[] = ['LF', 'CRLF'];

function countSentBytes(place: Place, body: string, lineEnd: LineEnd): number {
	return {
		'no byte': 0,
		'inside an event': buildEvents(0, lineEnd, 2).length + 9,
		'between events': buildEvents(0, lineEnd, 2).length,
		whole: body.length,
	}[place];
}

/** Whether the upstream's response is complete by its framing, and by its events if it is a stream. */
function isComplete(isStream: boolean, framing: Framing, end: End, place: Place): boolean {
	if (framing !== 'neither') {
		return place === 'whole';
	}

	// Between two events, an orderly close is all that marks the end of a stream without a length or chunks.
	const isBoundary = isStream ? place === 'whole' || place === 'between events' : true;
	return isBoundary && (end === 'close' || end === 'announced close');
}

const cases = routes.flatMap(({route, target, isStream}) => framings.flatMap(framing => ends.flatMap(end => places.flatMap(place => protocols.flatMap(protocol =>
	streamLineEnds.map(lineEnd => {
		const body = buildEvents(0, lineEnd);
		const sentBytes = countSentBytes(place, body, lineEnd);
		return {
			route, target, framing, end, place, protocol, lineEnd, body, sentBytes,
			isComplete: isComplete(isStream, framing, end, place),
			// Once the time is over, nothing is sent again.
			isResumed: target === '/ask/x' && end !== 'silence',
			lastEventId: {
				'no byte': undefined, 'inside an event': '1', 'between events': '1', whole: String(eventCount - 1),
			}[place],
		};
	}))))));

/** Whether the response is complete before its connection ends, so that the end may strike the next request. */
const isCompleteBeforeEnd = ({framing, place, end}: typeof cases[number]): boolean => framing !== 'neither' && place === 'whole' && end !== 'silence';
const title = 'to $route, framed by $framing, ending with $end, $place, $lineEnd, over $protocol';

async function checkEnding(endingCase: typeof cases[number]): Promise<string> {
	const {target, protocol, body, sentBytes, lastEventId} = endingCase;
	const {id, ...got} = await call(target, protocol, endingCase);
	if (endingCase.isComplete) {
		expect(got).toEqual({view: {isWhole: true, body: body.slice(0, sentBytes)}, resent: []});
	} else if (endingCase.isResumed) {
		expect(got).toEqual({view: {isWhole: true, body}, resent: [lastEventId]});
	} else {
		expect(got).toEqual({view: {isWhole: false}, resent: []});
	}

	return id;
}

describe.concurrent('the response to a caller', () => {
	test.each(cases.filter(endingCase => !isCompleteBeforeEnd(endingCase)))(title, async endingCase => {
		await checkEnding(endingCase);
	});
});

describe('the response to a caller that is complete before its connection ends', () => {
	test.each(cases.filter(endingCase => isCompleteBeforeEnd(endingCase)))(title, async endingCase => {
		await closings.get(await checkEnding(endingCase));
		await sleep(resetReadMs);
	});
});

describe.concurrent('a stream without a length or chunks, closed in an orderly way', () => {
	test.each(streamLineEnds.flatMap(lineEnd => ['/ask/x', '/check/x'].map(target => ({lineEnd, target}))))(
		'after any number of bytes is complete only after an event ($target, $lineEnd)',
		async ({lineEnd, target}) => {
			const body = buildEvents(0, lineEnd);
			const eventLength = body.length / eventCount;
			const views: CallerView[] = [];
			for (let sentBytes = 0; sentBytes <= body.length; sentBytes++) {
				const {view} = await call(target, 'HTTP/1.1', {
					framing: 'neither', end: 'close', body, sentBytes,
				});
				views.push(view);
			}

			expect(views.map(view => view.isWhole ? view.body : undefined)).toEqual(views.map((_, sentBytes) => {
				if (sentBytes > 0 && sentBytes % eventLength === 0) {
					return body.slice(0, sentBytes);
				}

				return target === '/ask/x' ? body : undefined;
			}));
		},
	);
});
