import {type PieceIndexTask} from '../context/piece-index-task.js';
import {type PieceRecord} from '../context/piece-record.js';
import {type PromptPiece} from '../decide/context/prompt-piece.js';
import {splitPrompt} from '../decide/context/split-prompt.js';
import {chooseVersion} from '../decide/routing/choose-version.js';
import {type EngineView} from '../decide/routing/engine-view.js';
import {type LinkEstimator} from '../decide/routing/link-estimator.js';
import {rankEngines} from '../decide/routing/rank-engines.js';
import {type RoutingPlan} from '../decide/routing/routing-plan.js';
import {type EngineWaitEstimator} from '../decide/routing/engine-wait-estimator.js';
import {Refusal} from '../errors/refusal.js';
import {type EngineStatus} from '../grants/engine-status.js';
import {type CacheStoreSettings} from '../settings/cache-store-settings.js';
import {type UpstreamSettings} from '../settings/upstream-settings.js';
import {computeSha256} from '../util/compute-sha256.js';
import {type CompletionRequest} from './completion-request.js';
import {type CompletionPlan} from './completion-plan.js';
import {type CompletionProgress} from './completion-progress.js';

const defaultRetryAfterMs = 2000;
/** Assumed network latency to an engine in another failure domain. */
const crossDomainLatencyMs = 3;
/** Assumed network latency to an engine in the same failure domain. */
const sameDomainLatencyMs = 1;

/** Options of `createCompletionPlanner`. */
type CompletionPlannerOptions = {
	/** Failure domain of this host. */
	readonly domain: string;
	/** The piece index. */
	readonly context: PieceIndexTask;
	/** Returns the latest status of an upstream, `undefined` while it is unknown. */
	readonly statusOf: (upstream: UpstreamSettings) => EngineStatus | undefined;
	/** Returns the estimator of a cache store's link. */
	readonly linkOf: (store: CacheStoreSettings) => LinkEstimator;
	readonly waits: EngineWaitEstimator;
	readonly random: () => number;
};

/**
Creates the function that plans where a request runs: it chooses the weight version, looks up the prompt's pieces and
ranks the engines.
*/
export function createCompletionPlanner({
	domain, context, statusOf, linkOf, waits, random,
}: CompletionPlannerOptions): (request: CompletionRequest, progress: CompletionProgress) => Promise<CompletionPlan> {
	const listUsable = (request: CompletionRequest, failed: ReadonlySet<string>): readonly UpstreamSettings[] => request.service.upstreams.filter(upstream =>
		!upstream.leaving && !failed.has(upstream.name) && !statusOf(upstream)?.leaving);

	/** Moves plans for failing engines behind all others; the order is kept otherwise. */
	const moveFailingLast = (routes: readonly RoutingPlan[], usableUpstreams: readonly UpstreamSettings[]): readonly RoutingPlan[] => {
		const failing = new Set(usableUpstreams.filter(upstream => statusOf(upstream)?.isUp === false).map(upstream => upstream.name));
		return [...routes.filter(route => !failing.has(route.engine)), ...routes.filter(route => failing.has(route.engine))];
	};

	/** Describes an engine as the ranking needs it; only the leading run of cached pieces counts. */
	const toView = (upstream: UpstreamSettings, pieces: readonly PromptPiece[], pieceRecords: ReadonlyArray<PieceRecord | undefined>): EngineView => {
		const firstMissing = pieces.findIndex((_, index) => !pieceRecords[index]?.engines.includes(upstream.name));
		return {
			name: upstream.name,
			domain: upstream.domain,
			cachedPieces: firstMissing === -1 ? pieces.length : firstMissing,
			waitMs: waits.estimateWaitMs(upstream.name, Date.now()),
			prefillTokensPerS: upstream.prefillTokensPerS,
			networkLatencyMs: upstream.domain === domain ? sameDomainLatencyMs : crossDomainLatencyMs,
		};
	};

	/** Creates the function that estimates the time to fetch bytes from a store; infinite for a store that the service no longer has. */
	const createFetchEstimator = (request: CompletionRequest) => (store: string, bytes: number): number => {
		const storeSettings = request.service.stores.find(candidate => candidate.name === store);
		return storeSettings ? linkOf(storeSettings).estimateTransferMs(bytes, Date.now()) : Number.POSITIVE_INFINITY;
	};

	return async (request, progress) => {
		const {service, model, workspace, prompt, promptCacheKey} = request;
		const usableUpstreams = listUsable(request, progress.failedEngines);
		const loadedVersions = usableUpstreams.map(upstream => statusOf(upstream)?.loaded ?? [`${model.name}@${model.version}`]);
		const version = chooseVersion(model, loadedVersions, progress.offset > 0 ? progress.version : undefined);
		if (version === undefined) {
			throw new Refusal('no-upstream', `no engine of service "${service.service}" can run model "${model.name}"`, progress.ran, defaultRetryAfterMs);
		}

		const scope = {
			workspace: workspace.name, service: service.service, model: model.name, adapter: model.adapter ?? '', version,
		};
		const pieces = splitPrompt(scope, prompt, service.pieceCharacters);
		const labels = pieces.map(piece => promptCacheKey === undefined ? piece.key : computeSha256(`${workspace.name}\n${promptCacheKey}`));
		const pieceRecords = await context.lookup(service.service, pieces.map(piece => piece.key), labels);
		const views = usableUpstreams
			.filter((_, index) => loadedVersions[index]!.includes(`${model.name}@${version}`))
			.map(upstream => toView(upstream, pieces, pieceRecords));
		const routes = rankEngines({
			pieceTokens: pieces.map(piece => piece.tokens),
			stored: pieceRecords.map(record => record?.stored),
			cost: service.cost,
			estimateFetchMs: createFetchEstimator(request),
		}, views, random);
		return {
			version, pieces, labels, pieceRecords, routes: moveFailingLast(routes, usableUpstreams),
		};
	};
}
