// Guards against a request that is sent to a failure domain out of service because it was placed there before the entry was known.
import {
	beforeEach, describe, expect, test,
} from 'vitest';
import {type EvacuationResult} from '../../src/evacuations/evacuation-result.js';
import {createEvacuations} from '../../src/evacuations/create-evacuations.js';
import {createAttemptTracker} from '../../src/forwarding/create-attempt-tracker.js';
import {createForwarder} from '../../src/forwarding/create-forwarder.js';
import {type AdmittedRequest} from '../../src/forwarding/admitted-request.js';
import {type Placement} from '../../src/forwarding/placement.js';
import {type RouteKind} from '../../src/forwarding/route-kind.js';
import {type Upstream} from '../../src/forwarding/upstream.js';
import {createServiceLatencyModel} from '../../src/decide/forwarding/create-service-latency-model.js';
import {createByteBudget} from '../../src/util/create-byte-budget.js';
import {createTestRegistry, testUpstream} from '../support/create-test-registry.js';

const domain = 'domain-b';
const kept: Upstream = {...testUpstream, id: 'i-kept', address: '127.0.0.1:1'};
const evacuated: Upstream = {
	...testUpstream, id: 'i-evacuated', address: '127.0.0.1:2', domain,
};
const entry = {
	name: domain, epoch: 1, revision: 5, value: {},
};

type ForwarderOptions = Parameters<typeof createForwarder>[0];

/** What a request waits for after it was placed, and the options of the forwarder that let it wait. */
const waits: ReadonlyArray<readonly [string, RouteKind, (wait: () => Promise<void>) => Partial<ForwarderOptions>]> = [
	['a permit', 'idempotent', wait => ({
		async acquirePermit() {
			await wait();
			return true;
		},
	})],
	['a slot of a brittle upstream', 'idempotent', wait => ({
		async acquireRoom() {
			await wait();
			return {isGranted: true, release: () => undefined};
		},
	})],
	['the check of the link', 'once', wait => ({
		async verifyLink() {
			await wait();
			return true;
		},
	})],
	['a permit, as a stream', 'stream', wait => ({
		async acquirePermit() {
			await wait();
			return true;
		},
	})],
];

let results: EvacuationResult[];
let sent: string[];

beforeEach(() => {
	results = [];
	sent = [];
});

const createTestEvacuations = () => createEvacuations({
	kind: 'k', isEnabled: true, hasAskedPeers: () => true, listUpstreams: () => [kept, evacuated], onReturned: () => undefined, now: () => 0, random: () => 0,
	onRequest(result) {
		results.push(result);
	},
});

function createAdmitted(kind: RouteKind, isRelayed: boolean, onRefusal: (kind: string) => void): AdmittedRequest {
	const none = {runs: 0, sends: 0, unsent: 0};
	return {
		request: {
			id: 'r', method: 'GET', target: '/', host: '', key: undefined, deadlineMs: undefined, resumeAfter: undefined, begunBy: undefined, attempts: undefined, prompt: undefined, headers: [],
		},
		route: {
			name: 'route', host: '', pathPrefix: '/', kind, isResumable: true, timeoutMs: 1000, objectiveMs: 1000, priority: 1, targets: [{service: 'app', weight: 1}], maxAttempts: 1, allowsAnonymous: true,
		},
		workspace: undefined, body: undefined, receivedAt: 0, endsAt: 10_000, signal: new AbortController().signal,
		stop: {allows: () => true, signal: new AbortController().signal},
		answer: {
			isHeadSent: () => false, begin: () => undefined, write: () => true, pendingBytes: () => 0, onDrain: () => undefined, end: () => undefined, abort: () => undefined,
			refuse(refusal) {
				onRefusal(refusal.kind);
			},
		},
		isRelayed,
		attempts: createAttemptTracker({spent: {...none, upstreams: []}, limits: {runs: 1, sends: 1, unsent: 1}}),
	};
}

const createPlacement = (upstream: Upstream, fetchFrom: ReadonlyArray<string | undefined> = []): Placement => ({
	upstream, missingTokens: 0, fetchedTokens: 0, heldTokens: 0, priority: 0, firstByteMs: 1, unseenMs: 0, isQueueing: false, inFlight: 0, inFlightLimit: undefined, isHome: false, weights: undefined,
	options: {
		upstreamId: upstream.id, workspace: undefined, priority: undefined, weightVersion: undefined, scope: undefined, fetchFrom, fetchUntil: undefined, saveTo: [],
	},
	recordSent: () => undefined,
});

/** Forwards one request; `during` runs while it waits for the first time. Each send is refused as not run. */
async function forward(kind: RouteKind, isRelayed: boolean, create: (wait: () => Promise<void>) => Partial<ForwarderOptions>, during: (evacuations: ReturnType<typeof createEvacuations>) => void): Promise<void> {
	const evacuations = createTestEvacuations();
	evacuations.watched[0]!.onChange([], undefined, 1);
	const registry = createTestRegistry((request, listener) => {
		sent.push(String(request.headers[0]));
		queueMicrotask(() => {
			listener.onFail(new Error('not sent'), false);
		});
		return {abort: () => undefined, resume: () => undefined};
	}, () => 0, () => 4, {isEvacuated: evacuations.isEvacuated});
	registry.updateUpstreams([kept, evacuated]);
	let hasWaited = false;
	const wait = async (): Promise<void> => {
		await Promise.resolve();
		if (!hasWaited) {
			hasWaited = true;
			during(evacuations);
		}
	};

	const model = createServiceLatencyModel();
	await createForwarder({
		registry, evacuations, now: () => 0, random: () => 0, getLatencyModel: () => model,
		crashes: {findCause: () => undefined, checkForCrash: () => undefined, recordSuccess: () => undefined},
		getRetryBudget: () => ({deposit: () => undefined, tryWithdraw: () => true}),
		getUrgentObjectiveMs: () => undefined,
		place() {
			const views = registry.listAvailable('app', 0, 0);
			const view = views.find(({upstream}) => upstream.id === evacuated.id) ?? views[0];
			return view && createPlacement(view.upstream);
		},
		acquirePermit: async () => true,
		acquireRoom: async () => ({isGranted: true, release: () => undefined}),
		verifyLink: async () => true,
		confirmCutOff: async () => false,
		relay: {chooseHelper: () => undefined, recordRefusal: () => undefined},
		async sendRelayed() {
			throw new Error('no other host');
		},
		verifyStart: async () => true,
		streams: {
			recordBegin: () => undefined, findRequired: async () => ({kind: 'any', version: undefined}) as never, findBeginVersion: async () => undefined,
			toListed: (_service, version) => version,
		},
		encode: (_request, {upstreamId}) => [upstreamId],
		keptBytes: createByteBudget(() => 1000, 1000),
		onEnd: () => undefined,
		...create(wait),
	})(createAdmitted(kind, isRelayed, () => undefined));
}

describe('a request that was placed before its failure domain was taken out of service', () => {
	test.each(waits.flatMap(([name, kind, create]) => [false, true].map(isRelayed => [`${name}${isRelayed ? ', handed on by another host' : ''}`, kind, create, isRelayed] as const)))('is sent elsewhere after it has waited for %s', async (_name, kind, create, isRelayed) => {
		await forward(kind, isRelayed, create, evacuations => {
			evacuations.watched[0]!.onChange([entry], undefined, 1);
		});
		expect(sent).toEqual([kept.id]);
		expect(results).toEqual(['withdrawn', 'elsewhere']);
	});

	test.each(waits)('is sent there if the entry is removed again while it waits for %s', async (_name, kind, create) => {
		await forward(kind, false, create, evacuations => {
			evacuations.watched[0]!.onChange([entry], undefined, 1);
			evacuations.watched[0]!.onChange([], undefined, 1);
		});
		expect(sent).toEqual([evacuated.id]);
	});
});

describe('a placed request', () => {
	test.each([
		['its upstream is in service, and so are those that it fetches from', createPlacement(kept, [undefined, '127.0.0.1:9']), true],
		['its upstream is out of service', createPlacement(evacuated), false],
		['it fetches KV cache from an upstream out of service', createPlacement(kept, [undefined, evacuated.address]), false],
	])('is sent as planned only if %s', (_name, placement, expected) => {
		const evacuations = createTestEvacuations();
		evacuations.watched[0]!.onChange([entry], undefined, 1);
		expect(evacuations.maySend('r', 'app', placement)).toBe(expected);
	});

	test('is not sent before this host knows the entries', () => {
		const evacuations = createTestEvacuations();
		expect([evacuations.maySend('r', 'app', createPlacement(kept)), evacuations.findRefusal('app', undefined) === undefined]).toEqual([false, false]);
	});
});
