import {canReadStoredKv} from '../decide/kv-cache/can-read-stored-kv.js';
import {planKvTransfers} from '../decide/kv-cache/plan-kv-transfers.js';
import {type KvStoreView} from '../decide/kv-cache/kv-store-view.js';
import {type KvScope} from '../decide/kv-cache/kv-scope.js';
import {formatPartKey} from '../decide/kv-cache/format-part-key.js';
import {formatScope} from '../decide/kv-cache/format-scope.js';
import {staleReadLimits} from '../decide/kv-cache/stale-read-limits.js';
import {selectRelevantStores} from '../decide/kv-cache/select-relevant-stores.js';
import {rankOwners} from '../decide/membership/rank-owners.js';
import {memoize} from '../util/memoize.js';
import {type KvSharingState} from '../object-store/kv-sharing-state.js';
import {type Clocks} from '../util/clocks.js';
import {type UpstreamRegistry} from '../registry/upstream-registry.js';
import {type KvStore} from './kv-store.js';
import {type KvStoreTracker} from './kv-store-tracker.js';
import {type DesiredWeights} from './desired-weights.js';
import {type Service} from './service.js';
import {type Upstream} from './upstream.js';
import {type KvReusePlanner} from './kv-reuse-planner.js';

const bitsPerByte = 8;
const kilobitsPerMegabit = 1000;
/** Transfers between failure domains are estimated to take this many times as long. */
const crossDomainTransferFactor = 2;
/** Number of prompt parts for which this host remembers the engine that it last sent them to. */
const maxRememberedParts = 20_000;

/** Options of `createKvReusePlanner`. */
type KvReusePlannerOptions = {
	readonly registry: UpstreamRegistry;
	/** Whether a failure domain is out of service; nothing is fetched from its engines then. */
	readonly isEvacuated: (domain: string) => boolean;
	/** Tracker of the KV stores. */
	readonly kept: Pick<KvStoreTracker, 'stores' | 'isBeingSaved' | 'recordSave'>;
	/** Returns the first desired weights of a model that are newer than a version. */
	readonly findNewerWeights: (model: string, version: number) => DesiredWeights | undefined;
	/** When the newest desired weights were last confirmed by the object store, directly or through a peer. */
	readonly weightsConfirmedAt: () => number | undefined;
	/** Returns the rules by which workspaces share KV cache. */
	readonly kvSharing: () => KvSharingState;
	readonly clocks: Clocks;
};

/** Ranks the stores for a shared part in the same order on every host, so that hosts that save it concurrently choose the same store. */
function rankStores(stores: readonly KvStore[], part: string): readonly KvStore[] {
	const byName = new Map(stores.map(store => [store.name, store]));
	return rankOwners([...byName.keys()], part).map(name => byName.get(name)!);
}

/** Creates the function that plans, for each upstream, which KV cache a request fetches and saves. */
export function createKvReusePlanner({registry, isEvacuated, kept: kvStoreTracker, findNewerWeights, weightsConfirmedAt, kvSharing, clocks}: KvReusePlannerOptions): KvReusePlanner {
	const now = clocks.suspendAware;
	const lastEngineByPart = new Map<string, string>();

	const remember = (key: string, upstreamId: string): void => {
		lastEngineByPart.delete(key);
		lastEngineByPart.set(key, upstreamId);
		if (lastEngineByPart.size > maxRememberedParts) {
			const [oldest] = lastEngineByPart.keys();
			lastEngineByPart.delete(oldest!);
		}
	};

	const toStoreView = (
		{name, store, partIndex, canSave}: KvStore,
		scope: KvScope,
		scopeText: string,
		engine: NonNullable<Service['engine']>,
		engineDomain: string,
	): KvStoreView => {
		const newerAt = findNewerWeights(scope.model, scope.version)?.supersededAt;
		const {isInUse, groupSince} = kvSharing();
		const isScopeInUse = isInUse(scope);
		const hasGroupSettled = clocks.monotonic() - groupSince >= staleReadLimits.groupSettleMs;
		const canRead = isScopeInUse && hasGroupSettled && canReadStoredKv({supersededAt: newerAt, confirmedAt: weightsConfirmedAt()}, now());
		const bitsPerMs = Math.min(store.linkMbps, engine.linkMbps) * kilobitsPerMegabit;
		const domainFactor = store.domain === engineDomain ? 1 : crossDomainTransferFactor;
		return {
			name,
			address: store.address,
			has: part => partIndex.has(scopeText, part),
			fetchDeadlineMs: canRead ? partIndex.getFetchDeadlineMs(now()) : undefined,
			canSave: tokens => newerAt === undefined && isScopeInUse && canSave(tokens),
			estimateTransferMs: tokens => store.firstMs + (domainFactor * tokens * engine.tokenBytes * bitsPerByte / bitsPerMs),
		};
	};

	return (prompt, engine, workspace, prefillTokensPerMs) => {
		const stores = rankStores(kvStoreTracker.stores(), prompt.parts.at(-2)?.id ?? '');
		const sharedParts = prompt.parts.slice(0, -1);
		const getWeightVersion = (upstream: Upstream): number => upstream.weights.get(prompt.model) ?? 0;

		const {scopeOf} = kvSharing();

		/** Computes what is the same for all engines with the same weights. */
		const getScope = memoize((version: string) => {
			const scope = scopeOf(prompt.model, Number(version), workspace?.name);
			const scopeText = formatScope(scope);
			const engines = new Map(sharedParts.map(({id}) => [id, lastEngineByPart.get(formatPartKey(scopeText, id))] as const));
			const relevant = selectRelevantStores(stores.map(store => ({store, has: (part: string) => store.partIndex.has(scopeText, part), canSave: store.canSave})), sharedParts);
			return {
				scope, text: scopeText, engines, lastEngines: new Set(engines.values()), stores: relevant.map(({store}) => store),
			};
		});
		const getStoreViews = memoize((_key: string, domain: string, version: string) => {
			const {scope, text, stores: relevant} = getScope(version);
			return relevant.map(store => toStoreView(store, scope, text, engine, domain));
		});

		return {
			isLikelyCachedAt(upstream) {
				return getScope(String(getWeightVersion(upstream))).lastEngines.has(upstream.id);
			},
			at(upstream) {
				const version = String(getWeightVersion(upstream));
				const {text, engines} = getScope(version);
				const plan = planKvTransfers({
					parts: prompt.parts,
					stores: getStoreViews(`${version}\n${upstream.domain}`, upstream.domain, version),
					isInEngine: part => engines.get(part) === upstream.id,
					findOtherEngine(part) {
						const otherEngine = engines.get(part);
						const source = otherEngine === undefined || otherEngine === upstream.id ? undefined : registry.get(otherEngine);
						return source && !isEvacuated(source.domain) ? source.address : undefined;
					},
					isBeingSaved: part => kvStoreTracker.isBeingSaved(text, part),
					prefillTokensPerMs,
					estimateEngineTransferMs: tokens =>
						crossDomainTransferFactor * tokens * engine.tokenBytes * bitsPerByte / (engine.linkMbps * kilobitsPerMegabit),
				});
				return {
					...plan,
					scope: text,
					recordSent() {
						for (const save of plan.saves) {
							kvStoreTracker.recordSave(save.store, text, save.part, save.tokens);
						}

						for (const part of sharedParts) {
							remember(formatPartKey(text, part.id), upstream.id);
						}
					},
				};
			},
		};
	};
}
