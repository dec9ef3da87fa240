import {describe, expect, test} from 'vitest';
import {createServiceLatencyModel} from '../../src/decide/forwarding/create-service-latency-model.js';
import {type UpstreamView} from '../../src/decide/forwarding/upstream-view.js';
import {type AdmittedRequest} from '../../src/forwarding/admitted-request.js';
import {createRequestPlacer} from '../../src/forwarding/create-request-placer.js';
import {createSeededRandom} from '../../src/util/create-seeded-random.js';

const prompt = {
	model: 'm', parts: [], promptTokens: 0, outputTokens: 10, expectedOutputTokens: undefined,
};
const progress = {service: 's', triedUpstreams: new Set<string>(), softwareVersion: undefined};

const toView = (id: string, waitingTokens: number): UpstreamView => ({
	upstream: {
		id, service: 's', address: '', domain: 'd', slots: 32, isLeaving: false, startedAt: undefined, softwareVersion: '', weights: new Map([['m', 1]]),
	},
	inFlight: 0, waitingTokens, isQueueing: waitingTokens > 0, heldTokens: 0,
	isUnresponsive: false, isReachable: true, isEjected: false, failureShare: 0, freeConnections: 100, requestsPerS: undefined, closedForMs: 0,
});

const toAdmitted = (hasPrompt: boolean) => ({
	request: {id: 'r', prompt: hasPrompt ? prompt : undefined}, route: {name: 'route', objectiveMs: 400, priority: 1}, workspace: undefined,
}) as unknown as AdmittedRequest;

/** Creates a placer over upstreams `a` to `d` with 0, 900, 9,000 and 90,000 tokens waiting, of which 90 are read in a millisecond. */
function createPlacer(random: () => number = () => 0) {
	const views = [toView('d', 90_000), toView('b', 900), toView('a', 0), toView('c', 9000)];
	return createRequestPlacer({
		domain: 'd', registry: {listAvailable: () => views} as never, serviceOf: () => undefined, getLatencyModel: () => createServiceLatencyModel(),
		others: () => ({count: 26, reportAgeMs: 450}), planKvReuse() {
			throw new Error('a service without engine has no KV cache');
		}, getStaleForMs: () => undefined, versionMs: () => 12_000, now: () => 0, random,
	});
}

const claims = {isUsed: () => true, applyQuotes: (view: UpstreamView) => view};

describe('a placement that can be claimed', () => {
	/** Guards against a queue that other hosts have built since their reports and that the prediction leaves out. */
	test('is predicted again with the quoted load', () => {
		const placement = createPlacer()(toAdmitted(true), progress, claims)!;
		expect(placement.upstream.id).toBe('a');
		const quoted = placement.claimable!.predictWithQuote({
			inFlight: 4, aheadTokens: 1800, isQueueing: true, heldTokens: 0, isFilling: false,
		});
		expect(quoted.firstByteMs - placement.firstByteMs).toBeCloseTo((1800 / 90) + (4 * 3));
		expect(quoted).toMatchObject({
			upstream: {id: 'a'}, isQueueing: true, inFlight: 4, claimable: {waitMs: 20, rankMs: quoted.firstByteMs},
		});
	});

	test('is followed by the others in the order of the ranking', () => {
		const ids: string[] = [];
		for (let placement = createPlacer()(toAdmitted(true), progress, claims); placement; placement = placement.claimable!.next()) {
			ids.push(placement.upstream.id);
		}

		expect(ids).toEqual(['a', 'b', 'c', 'd']);
	});

	test('is ranked by recent quotes in place of reports', () => {
		const applyQuotes = (view: UpstreamView): UpstreamView => view.upstream.id === 'a' ? {...view, waitingTokens: 2000} : view;
		expect(createPlacer()(toAdmitted(true), progress, {...claims, applyQuotes})!.upstream.id).toBe('b');
	});
});

/** Guards against another choice, or other random draws, in deployments that claim nothing. */
describe('a placement by reports', () => {
	test.each([
		['below the share of the objective', true, {isUsed: () => false}],
		['of a request without a prompt', false, {isUsed: () => true}],
	])('%s is the same as without claims', (_name, hasPrompt, {isUsed}) => {
		const applyQuotes = (): never => {
			throw new Error('no quote counts');
		};

		const placers = [createPlacer(createSeededRandom(5)), createPlacer(createSeededRandom(5))];
		for (let count = 0; count < 200; count++) {
			const [plain, offered] = placers.map((place, index) => place(toAdmitted(hasPrompt), progress, index === 0 ? undefined : {isUsed, applyQuotes})!);
			expect(offered!.claimable).toBeUndefined();
			expect([offered!.upstream.id, offered!.firstByteMs, offered!.unseenMs]).toEqual([plain!.upstream.id, plain!.firstByteMs, plain!.unseenMs]);
			plain!.recordSent();
			offered!.recordSent();
		}
	});
});
