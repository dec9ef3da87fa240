import {avoidColdUpstreams} from '../decide/cold/avoid-cold-upstreams.js';
import {applyQuote} from '../decide/claims/apply-quote.js';
import {type LoadQuote} from '../decide/claims/load-quote.js';
import {chooseUpstream} from '../decide/forwarding/choose-upstream.js';
import {computeRankMs} from '../decide/forwarding/compute-rank-ms.js';
import {rankCandidates} from '../decide/forwarding/rank-candidates.js';
import {createUnreportedWorkEstimator} from '../decide/forwarding/create-unreported-work-estimator.js';
import {chooseWithinPace} from '../decide/pace/choose-within-pace.js';
import {preferWithRoom} from '../decide/pace/prefer-with-room.js';
import {predictFirstByte} from '../decide/forwarding/predict-first-byte.js';
import {type UpstreamCandidate} from '../decide/forwarding/upstream-candidate.js';
import {type LatencyParameters} from '../decide/forwarding/latency-parameters.js';
import {type ServiceLatencyModel} from '../decide/forwarding/service-latency-model.js';
import {type UpstreamView} from '../decide/forwarding/upstream-view.js';
import {computeStaleWeightsPenalty} from '../decide/forwarding/compute-stale-weights-penalty.js';
import {findOwner} from '../decide/membership/find-owner.js';
import {type WeightAges} from '../decide/weights/weight-ages.js';
import {type UpstreamPaces} from '../pace/upstream-paces.js';
import {log} from '../observe/log.js';
import {memoize} from '../util/memoize.js';
import {type UpstreamRegistry} from '../registry/upstream-registry.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type ForwardingProgress} from './forwarding-progress.js';
import {type KvReusePlan} from './kv-reuse-plan.js';
import {type KvReusePlanner} from './kv-reuse-planner.js';
import {type Placement} from './placement.js';
import {type PlacementClaims} from './placement-claims.js';
import {type Prompt} from './prompt.js';
import {type Service} from './service.js';
import {type Upstream} from './upstream.js';

const highestPriority = 0;
const lowestPriority = 9;
/**
Factor on the time to read prompt parts at the upstream that all hosts prefer for the prompt's shared part. The part is likely
to be cached there by the time the request runs.
*/
const ownerReadFactor = 0.5;

/** Dependencies of the request placer. */
type RequestPlacerOptions = {
	/** Failure domain of this host. */
	readonly domain: string;
	readonly registry: UpstreamRegistry;
	readonly serviceOf: (name: string) => Service | undefined;
	/** Returns the latency model of a service. */
	readonly getLatencyModel: (service: string) => ServiceLatencyModel;
	/** Returns the number of other hosts that place requests, and the mean age of their reports in milliseconds. */
	readonly others: () => {readonly count: number; readonly reportAgeMs: number};
	readonly planKvReuse: KvReusePlanner;
	readonly paces?: Pick<UpstreamPaces, 'tryTake'>;
	/** Returns for how long there have been newer weights of a model than a version, in milliseconds. */
	readonly getStaleForMs: WeightAges['getStaleForMs'];
	/** Time after new desired weights are published from which no request may start on older ones, in milliseconds. */
	readonly versionMs: () => number;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
	readonly random: () => number;
};

/** Returns the id of the last prompt part that other requests may share. */
function findSharedPart(prompt: Prompt | undefined): string | undefined {
	return prompt?.parts.at(-2)?.id;
}

/** Returns the KV cache memory that a prompt and its output take, in tokens. */
function countTokens(prompt: Prompt | undefined): number {
	return prompt ? prompt.promptTokens + (prompt.expectedOutputTokens ?? prompt.outputTokens) : 0;
}

/** Creates the function that chooses the upstream of a request and the options of the request sent there. */
export function createRequestPlacer({domain, registry, serviceOf, getLatencyModel, others, planKvReuse, paces, getStaleForMs, versionMs, now, random}: RequestPlacerOptions) {
	const estimatorOf = memoize((_service: string) => createUnreportedWorkEstimator());

	/** Returns the work per upstream that other hosts may have sent since their last reports, in milliseconds. */
	const estimateUnreportedMs = (service: string, upstreams: number): number => {
		const {count, reportAgeMs} = others();
		return estimatorOf(service).estimatePerUpstreamMs({otherHosts: count, reportAgeMs, upstreams}, now());
	};

	/** Returns the time by which a request delays later requests at an upstream, in milliseconds. */
	const computeAddedMs = ({upstream: {slots}}: UpstreamView, plan: KvReusePlan | undefined, parameters: LatencyParameters): number =>
		plan ? parameters.perRequestMs + (plan.missingTokens / parameters.prefillTokensPerMs) : parameters.residenceMs / Math.max(1, slots);

	const toOptions = (admitted: AdmittedRequest, view: UpstreamView, priority: number, plan: KvReusePlan | undefined): Placement['options'] => {
		const {prompt} = admitted.request;
		return {
			upstreamId: view.upstream.id,
			workspace: admitted.workspace?.name,
			priority: prompt && priority,
			weightVersion: prompt && view.upstream.weights.get(prompt.model),
			scope: plan?.scope,
			fetchFrom: plan?.parts.map(part => part.fetchFrom) ?? [],
			fetchUntil: plan?.fetchDeadlineMs,
			saveTo: plan?.parts.map(part => part.saveTo) ?? [],
		};
	};

	/** Creates the function that returns for how long there have been newer weights than an upstream's, in milliseconds. */
	const createStaleness = ({request: {prompt}}: AdmittedRequest) => {
		const staleOf = memoize((version: string) => ({forMs: prompt && getStaleForMs(prompt.model, Number(version))}));
		return ({weights}: Upstream): number | undefined => staleOf(String(prompt ? weights.get(prompt.model) ?? 0 : 0)).forMs;
	};

	return (
		admitted: AdmittedRequest,
		{service, triedUpstreams: tried, softwareVersion}: Pick<ForwardingProgress, 'service' | 'triedUpstreams' | 'softwareVersion'>,
		claims?: PlacementClaims,
	): Placement | undefined => {
		const {request: {prompt}, route, workspace} = admitted;
		const priority = Math.min(lowestPriority, Math.max(highestPriority, workspace?.priority ?? route.priority));
		const engine = serviceOf(service)?.engine;
		const parameters = getLatencyModel(service).parameters();
		const available = registry.listAvailable(service, now(), priority)
			.filter(view => view.isReachable && view.closedForMs === 0 && (softwareVersion === undefined || view.upstream.softwareVersion === softwareVersion));
		const untried = available.filter(view => !tried.has(view.upstream.id));
		const reported = untried.length > 0 ? untried : available;
		const unseenMs = estimateUnreportedMs(service, reported.length);
		const isClaimed = prompt !== undefined && claims?.isUsed(unseenMs) === true;
		const views = isClaimed ? reported.map(view => claims.applyQuotes(view, priority)) : reported;
		const sharedPart = findSharedPart(prompt);
		// All hosts compute the same owner, so requests that share the part go to the same upstream. One with a limit can't take them.
		const ownerCandidates = views.filter(view => view.requestsPerS === undefined && !view.isCold);
		const sharedPartOwner = sharedPart === undefined ? undefined : findOwner(ownerCandidates.map(view => view.upstream.id), sharedPart);
		const heldTokens = countTokens(prompt);
		const plans = new Map<string, KvReusePlan>();
		const reusePlans = prompt && engine && planKvReuse(prompt, engine, workspace, parameters.prefillTokensPerMs);
		const staleForMsOf = createStaleness(admitted);
		const predict = (view: UpstreamView, promptReadyMs: number): number => predictFirstByte(view, {promptReadyMs, heldTokens, kvCapacityTokens: engine?.memoryTokens}, parameters, domain);

		const computePromptReadyMs = (id: string): number => {
			const readMs = plans.get(id)?.parts.reduce((sum, part) => sum + part.readyMs, 0) ?? 0;
			return id === sharedPartOwner ? readMs * ownerReadFactor : readMs;
		};

		const predictWithKvCache = (candidate: UpstreamCandidate): UpstreamCandidate => {
			const {id} = candidate.view.upstream;
			const plan = reusePlans!.at(candidate.view.upstream);
			plans.set(id, plan);
			return {...candidate, firstByteMs: predict(candidate.view, computePromptReadyMs(id))};
		};

		const candidates = views.flatMap((view): readonly UpstreamCandidate[] => {
			const firstByteMs = predict(view, 0);
			const staleWeightsPenaltyMs = computeStaleWeightsPenalty({
				staleForMs: staleForMsOf(view.upstream), maxStaleMs: versionMs(), objectiveMs: route.objectiveMs, waitMs: firstByteMs,
			});
			return staleWeightsPenaltyMs === undefined ? [] : [{view, firstByteMs, staleWeightsPenaltyMs}];
		});
		if (candidates.length === 0 && views.length > 0) {
			log.info({
				requestId: admitted.request.id!, service, upstreams: views.map(({upstream}) => upstream.id),
			}, 'all upstreams have weights that are too old');
		}

		const isLikelyToHold = ({view: {upstream}}: UpstreamCandidate): boolean => upstream.id === sharedPartOwner || reusePlans!.isLikelyCachedAt(upstream);
		const choice = {random, unseenMs, context: reusePlans && {mayHold: isLikelyToHold, predictWithKvCache}};

		const toPlacement = ({view, firstByteMs}: UpstreamCandidate, claimable?: Placement['claimable']): Placement => {
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
				inFlightLimit: view.pace?.limit,
				isHome: view.upstream.id === sharedPartOwner,
				weights: prompt && {version: view.upstream.weights.get(prompt.model) ?? 0, staleForMs: staleForMsOf(view.upstream)},
				options: toOptions(admitted, view, priority, plan),
				claimable,
				recordSent() {
					estimatorOf(service).record(computeAddedMs(view, plan, parameters), now());
					plan?.recordSent();
				},
			};
		};

		/** Returns the placement at the best of ranked candidates, from which the others can be claimed in turn. */
		const toClaimable = ([candidate, ...rest]: readonly UpstreamCandidate[]): Placement | undefined => {
			if (!candidate) {
				return undefined;
			}

			const describe = (ranked: UpstreamCandidate): Placement['claimable'] => ({
				rankMs: computeRankMs(ranked), waitMs: ranked.view.waitingTokens / parameters.prefillTokensPerMs, predictWithQuote, next: () => toClaimable(rest),
			});
			const predictWithQuote = (quote: LoadQuote): Placement => {
				const view = applyQuote(candidate.view, quote);
				const quoted = {...candidate, view, firstByteMs: predict(view, computePromptReadyMs(view.upstream.id))};
				return toPlacement(quoted, describe(quoted));
			};

			return toPlacement(candidate, describe(candidate));
		};

		if (isClaimed) {
			return toClaimable(rankCandidates(preferWithRoom(avoidColdUpstreams(candidates, route.objectiveMs)), {...choice, isClaimed: true}));
		}

		const best = chooseWithinPace(avoidColdUpstreams(candidates, route.objectiveMs), {
			choose: among => chooseUpstream(among, choice),
			isLate: ({firstByteMs}) => firstByteMs + now() - admitted.receivedAt > route.objectiveMs,
			tryTake: ({upstream, inFlight}, limit) => paces?.tryTake(upstream.id, {limit, inFlight}) ?? true,
		});
		return best && toPlacement(best);
	};
}
