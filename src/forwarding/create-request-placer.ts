import {chooseUpstream} from '../decide/forwarding/choose-upstream.js';
import {createUnreportedWorkEstimator} from '../decide/forwarding/create-unreported-work-estimator.js';
import {predictFirstByte} from '../decide/forwarding/predict-first-byte.js';
import {type UpstreamCandidate} from '../decide/forwarding/upstream-candidate.js';
import {type LatencyParameters} from '../decide/forwarding/latency-parameters.js';
import {type ServiceLatencyModel} from '../decide/forwarding/service-latency-model.js';
import {type UpstreamView} from '../decide/forwarding/upstream-view.js';
import {computeStaleWeightsPenalty} from '../decide/forwarding/compute-stale-weights-penalty.js';
import {findOwner} from '../decide/membership/find-owner.js';
import {memoize} from '../util/memoize.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type KvReusePlan} from './kv-reuse-plan.js';
import {type KvReusePlanner} from './kv-reuse-planner.js';
import {type DesiredWeights} from './desired-weights.js';
import {type Placement} from './placement.js';
import {type Prompt} from './prompt.js';
import {type Service} from './service.js';
import {type UpstreamRegistry} from './upstream-registry.js';
import {type Upstream} from './upstream.js';

const mostUrgent = 0;
const leastUrgent = 9;
/** Share of the time to read a part where requests for it are sent by all hosts, so that it is likely to be there. */
const homeShare = 0.5;

/** What the placer needs. */
type RequestPlacerOptions = {
	readonly domain: string;
	readonly book: UpstreamRegistry;
	readonly serviceOf: (name: string) => Service | undefined;
	readonly paceOf: (service: string) => ServiceLatencyModel;
	/** Other hosts that place requests, and the mean age of their reports in milliseconds. */
	readonly others: () => {readonly count: number; readonly reportAgeMs: number};
	readonly planKvReuse: KvReusePlanner;
	/** The first naming of newer weights of a model than a version. */
	readonly findNewerWeights: (model: string, version: number) => DesiredWeights | undefined;
	/** Time after a naming of weights by which no request begins on older ones. */
	readonly versionMs: () => number;
	/** Clock in milliseconds that counts suspensions. */
	readonly elapsed: () => number;
	readonly now: () => number;
	readonly random: () => number;
};

/** Gives the last part of a prompt that other requests share. */
function findSharedPart(prompt: Prompt | undefined): string | undefined {
	return prompt?.parts.at(-2)?.id;
}

/** Tokens of memory that a prompt and its answer take. */
function countTokens(prompt: Prompt | undefined): number {
	return prompt ? prompt.promptTokens + (prompt.expectedOutputTokens ?? prompt.outputTokens) : 0;
}

/** Creates the function that chooses an upstream for a request and how the request is sent there. */
export function createRequestPlacer({domain, book, serviceOf, paceOf, others, planKvReuse, findNewerWeights, versionMs, now, elapsed, random}: RequestPlacerOptions) {
	const unseenOf = memoize((_service: string) => createUnreportedWorkEstimator());

	const findUnseenMs = (service: string, upstreams: number): number => {
		const {count, reportAgeMs} = others();
		return unseenOf(service).estimatePerUpstreamMs({otherHosts: count, reportAgeMs, upstreams}, now());
	};

	/** Time that a request adds for those behind it at an upstream. */
	const addedMs = ({upstream: {slots}}: UpstreamView, plan: KvReusePlan | undefined, costs: LatencyParameters): number =>
		plan ? costs.perRequestMs + (plan.missingTokens / costs.prefillTokensPerMs) : costs.residenceMs / Math.max(1, slots);

	const toOptions = (call: AdmittedRequest, view: UpstreamView, urgency: number, plan: KvReusePlan | undefined): Placement['options'] => {
		const {prompt} = call.request;
		return {
			upstreamId: view.upstream.id,
			workspace: call.workspace?.name,
			priority: prompt && urgency,
			weightVersion: prompt && view.upstream.weights.get(prompt.model),
			scope: plan?.scope,
			fetchFrom: plan?.parts.map(part => part.fetchFrom) ?? [],
			fetchUntil: plan?.fetchDeadlineMs,
			saveTo: plan?.parts.map(part => part.saveTo) ?? [],
		};
	};

	/** Gives the time by which old weights put an upstream back; nothing where it may not be used any more. */
	const createWeightsCosts = ({request: {prompt}, route}: AdmittedRequest) => {
		const costOf = memoize((version: string) => {
			const newer = prompt && findNewerWeights(prompt.model, Number(version));
			return {
				ms: computeStaleWeightsPenalty({
					staleForMs: newer && elapsed() - newer.learnedAt,
					isStaleTimeExact: newer !== undefined && Number.isFinite(newer.supersededAt),
					maxStaleMs: versionMs(),
					objectiveMs: route.objectiveMs,
				}),
			};
		});
		return ({weights}: Upstream): number | undefined => costOf(String(prompt ? weights.get(prompt.model) ?? 0 : 0)).ms;
	};

	return (call: AdmittedRequest, service: string, tried: ReadonlySet<string>): Placement | undefined => {
		const {request: {prompt}, route, workspace} = call;
		const priority = Math.min(leastUrgent, Math.max(mostUrgent, workspace?.priority ?? route.priority));
		const engine = serviceOf(service)?.engine;
		const costs = paceOf(service).parameters();
		const known = book.listAvailable(service, now(), priority);
		const fresh = known.filter(view => !tried.has(view.upstream.id));
		const views = fresh.length > 0 ? fresh : known;
		const sharedPart = findSharedPart(prompt);
		const home = sharedPart === undefined ? undefined : findOwner(views.map(view => view.upstream.id), sharedPart);
		const heldTokens = countTokens(prompt);
		const plans = new Map<string, KvReusePlan>();
		const context = prompt && engine && planKvReuse(prompt, engine, workspace, costs.prefillTokensPerMs);
		const weightsMsOf = createWeightsCosts(call);
		const predict = (view: UpstreamView, promptReadyMs: number): number => predictFirstByte(view, {promptReadyMs, heldTokens, kvCapacityTokens: engine?.memoryTokens}, costs, domain);

		const predictWithKvCache = (candidate: UpstreamCandidate): UpstreamCandidate => {
			const {id} = candidate.view.upstream;
			const plan = context!.at(candidate.view.upstream);
			plans.set(id, plan);
			const readMs = plan.parts.reduce((sum, part) => sum + part.readyMs, 0);
			return {...candidate, firstByteMs: predict(candidate.view, id === home ? readMs * homeShare : readMs)};
		};

		const unseenMs = findUnseenMs(service, views.length);
		const unread = views.flatMap((view): readonly UpstreamCandidate[] => {
			const staleWeightsPenaltyMs = weightsMsOf(view.upstream);
			return staleWeightsPenaltyMs === undefined ? [] : [{view, firstByteMs: predict(view, 0), staleWeightsPenaltyMs}];
		});
		const mayHold = ({view: {upstream}}: UpstreamCandidate): boolean => upstream.id === home || context!.isLikelyCachedAt(upstream);
		const best = chooseUpstream(unread, {random, unseenMs, context: context && {mayHold, predictWithKvCache}});
		if (!best) {
			return undefined;
		}

		const {view, firstByteMs} = best;
		const plan = plans.get(view.upstream.id);
		return {
			upstream: view.upstream,
			missingTokens: plan?.missingTokens ?? 0,
			fetchedTokens: plan?.fetchedTokens ?? 0,
			heldTokens,
			priority,
			firstByteMs,
			unseenMs,
			isQueueing: view.isQueueing,
			inFlight: view.inFlight,
			isHome: view.upstream.id === home,
			options: toOptions(call, view, priority, plan),
			recordSent() {
				unseenOf(service).record(addedMs(view, plan, costs), now());
				plan?.recordSent();
			},
		};
	};
}
