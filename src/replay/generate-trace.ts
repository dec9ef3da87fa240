import {createSeededRandom} from '../util/create-seeded-random.js';
import {type Deployment} from './deployment.js';
import {type Scenario} from './scenario.js';
import {type TraceEvent} from './trace-event.js';
import {type TraceRequest} from './trace-request.js';

const medianShortGapMs = 240_000;
const medianLongGapMs = 2_400_000;
const shortGapShare = 0.5;
const longGapShare = 0.35;
const shortContextShare = 0.35;
const medianPieces = 10;
const maxPieces = 60;
const floodFactor = 10;

/** Options of a generated trace. */
type TraceOptions = {
	/** Prefill work of all prompts without any KV cache, as a share of the engines' prefill capacity. */
	readonly load: number;
	readonly seed: number;
	readonly durationMs: number;
	readonly scenario: Scenario;
};

type Random = () => number;
type DeployedService = Deployment['services'][number];

/** Draws from the standard normal distribution (Box-Muller transform). */
function drawNormal(random: Random): number {
	return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

/** Draws the time in milliseconds until the context's next request; `undefined` when the context has no further request, or only days later. */
function drawGap(random: Random): number | undefined {
	const draw = random();
	if (draw < shortGapShare) {
		return medianShortGapMs * Math.exp(drawNormal(random));
	}

	return draw < shortGapShare + longGapShare ? medianLongGapMs * Math.exp(0.8 * drawNormal(random)) : undefined;
}

/** Draws a workspace by Zipf's law, the first ones most often. */
function drawWorkspace(random: Random, service: DeployedService): string {
	const zipfWeights = service.workspaces.map((_, index) => 1 / (index + 1));
	let remaining = random() * zipfWeights.reduce((sum, zipfWeight) => sum + zipfWeight, 0);
	for (const [index, {name}] of service.workspaces.entries()) {
		remaining -= zipfWeights[index]!;
		if (remaining <= 0) {
			return name;
		}
	}

	return service.workspaces[0]!.name;
}

/** Generates the requests of one context. The context may begin before the trace; only requests within the trace are returned. */
function generateContextRequests(random: Random, service: DeployedService, context: string, durationMs: number): readonly TraceRequest[] {
	const workspace = drawWorkspace(random, service);
	const isShort = random() < shortContextShare;
	let pieces = isShort ? Math.floor(random() * 3) : Math.min(maxPieces, Math.ceil(medianPieces * Math.exp(0.7 * drawNormal(random))));
	const requests: TraceRequest[] = [];
	let at = ((random() * 2) - 1) * durationMs;
	while (at < durationMs) {
		if (at >= 0) {
			requests.push({
				kind: 'request', at: Math.round(at), service: service.name, workspace, context, pieces,
				tailTokens: 20 + Math.floor(random() * 400),
				outputTokens: isShort ? 8 + Math.floor(random() * 24) : 50 + Math.floor(random() * 250),
			});
		}

		const gap = drawGap(random);
		if (gap === undefined) {
			break;
		}

		at += gap;
		// A returning prompt contains the earlier conversation and may be one piece longer.
		pieces = Math.min(maxPieces, pieces + (random() < 0.5 ? 1 : 0));
	}

	return requests;
}

/** Returns the prefill time of a request without any KV cache, in milliseconds. */
function computePrefillMs(service: DeployedService, request: TraceRequest): number {
	return ((request.pieces * service.pieceTokens) + request.tailTokens) / service.prefillTokensPerS * 1000;
}

/** Generates the requests that a flooding workspace sends in addition to its regular ones. */
function generateFlood(random: Random, service: DeployedService, requests: readonly TraceRequest[], durationMs: number): readonly TraceRequest[] {
	const {name} = service.workspaces.at(-1)!;
	const regularRequests = requests.filter(request => request.workspace === name);
	const count = Math.floor(regularRequests.length * (floodFactor - 1));
	return Array.from({length: count}, (_, index): TraceRequest => ({
		...regularRequests[Math.floor(random() * regularRequests.length)]!,
		at: Math.round(random() * durationMs),
		context: `flood-${index % 50}`,
	}));
}

/** Generates the events of a scenario other than requests. Faults begin after the first third of the trace. */
function generateFaults(service: DeployedService, scenario: Scenario, durationMs: number): readonly TraceEvent[] {
	const from = Math.round(durationMs / 3);
	const to = Math.round(durationMs * 2 / 3);
	const {name} = service;
	switch (scenario) {
		case 'steady':
		case 'flood':
		case 'overload': {
			return [];
		}

		case 'slow-link': {
			return [{
				kind: 'link', at: from, service: name, factor: 0.1,
			}, {
				kind: 'link', at: to, service: name, factor: 1,
			}];
		}

		case 'full-store': {
			return [{
				kind: 'store', at: from, service: name, pieces: Math.floor((service.memoryPieces + service.diskPieces) / 10),
			}];
		}

		case 'swap': {
			return [{
				kind: 'version', at: from, service: name, version: 'v2',
			}];
		}

		case 'engine-death': {
			return [{
				kind: 'engine', at: from, service: name, engine: 0, isUp: false,
			}, {
				kind: 'engine', at: to, service: name, engine: 0, isUp: true,
			}];
		}
	}
}

/** Generates a trace of a deployment; the same options and seed result in the same trace. */
export function generateTrace(deployment: Deployment, {load, seed, durationMs, scenario}: TraceOptions): readonly TraceEvent[] {
	const random = createSeededRandom(seed);
	const events: TraceEvent[] = [];
	for (const service of deployment.services) {
		const requests: TraceRequest[] = [];
		let work = 0;
		for (let index = 0; work < load * service.engines * durationMs; index++) {
			const contextRequests = generateContextRequests(random, service, `${service.name}-${index}`, durationMs);
			requests.push(...contextRequests);
			work += contextRequests.reduce((sum, request) => sum + computePrefillMs(service, request), 0);
		}

		if (scenario === 'flood') {
			requests.push(...generateFlood(random, service, requests, durationMs));
		}

		// The overload scenario keeps all requests of the middle third and a quarter of the others, so the load of the middle third is
		// four times that of the first and of the last third.
		const keptRequests = scenario === 'overload'
			? requests.filter(request => (request.at >= durationMs / 3 && request.at < durationMs * 2 / 3) || random() < 0.25)
			: requests;
		events.push(...keptRequests, ...generateFaults(service, scenario, durationMs));
	}

	const getTime = (event: TraceEvent): number => event.kind === 'deployment' ? -1 : event.at;
	return [deployment, ...events.toSorted((a, b) => getTime(a) - getTime(b))];
}
