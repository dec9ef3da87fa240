import {canReadStoredKv} from '../decide/kept/can-read-stored-kv.js';
import {planKvTransfers} from '../decide/kept/plan-kv-transfers.js';
import {type KvStoreView} from '../decide/kept/kv-store-view.js';
import {type KvScope} from '../decide/kept/kv-scope.js';
import {formatPartKey} from '../decide/kept/format-part-key.js';
import {formatScope} from '../decide/kept/format-scope.js';
import {rankOwners} from '../decide/membership/rank-owners.js';
import {memoize} from '../util/memoize.js';
import {type KvStore} from './kv-store.js';
import {type KvStoreTracker} from './kv-store-tracker.js';
import {type DesiredWeights} from './desired-weights.js';
import {type Service} from './service.js';
import {type UpstreamRegistry} from './upstream-registry.js';
import {type Upstream} from './upstream.js';
import {type Workspace} from './workspace.js';
import {type KvReusePlanner} from './kv-reuse-planner.js';

const bitsPerByte = 8;
const kilobitsPerMegabit = 1000;
/** Moves between failure domains take this many times as long. */
const otherDomainMoves = 2;
/** Parts of which this host remembers the engine that it sent them to last. */
const rememberedParts = 20_000;

/** What the planner needs. */
type KvReusePlannerOptions = {
	readonly book: UpstreamRegistry;
	readonly kept: Pick<KvStoreTracker, 'stores' | 'isBeingSaved' | 'recordSave'>;
	/** The first naming of newer weights of a model than a version. */
	readonly findNewerWeights: (model: string, version: number) => DesiredWeights | undefined;
	/** When the newest weights were last confirmed. */
	readonly weightsConfirmedAt: () => number | undefined;
	/** Clock in milliseconds that counts suspensions. */
	readonly now: () => number;
};

/** Gives the scope of a request's context: its weights, and its workspace where that is isolated. */
function toScope(model: string, version: number, workspace: Workspace | undefined): KvScope {
	return {model, version, workspace: workspace?.isIsolated ? workspace.name : undefined};
}

/** Orders stores for a shared part, the same on every host, so that hosts that save a part at once choose the same store. */
function orderStores(stores: readonly KvStore[], part: string): readonly KvStore[] {
	const names = rankOwners(stores.map(store => store.name), part);
	return names.map(name => stores.find(store => store.name === name)!);
}

/** Creates the planner of kept context. */
export function createKvReusePlanner({book, kept, findNewerWeights, weightsConfirmedAt, now}: KvReusePlannerOptions): KvReusePlanner {
	const lastEngine = new Map<string, string>();

	const remember = (key: string, upstreamId: string): void => {
		lastEngine.delete(key);
		lastEngine.set(key, upstreamId);
		if (lastEngine.size > rememberedParts) {
			const [oldest] = lastEngine.keys();
			lastEngine.delete(oldest!);
		}
	};

	const toStoreView = ({name, store, directory, canSave}: KvStore, {model, version}: KvScope, text: string, engine: NonNullable<Service['engine']>, engineDomain: string): KvStoreView => {
		const newerAt = findNewerWeights(model, version)?.supersededAt;
		const canRead = canReadStoredKv({supersededAt: newerAt, confirmedAt: weightsConfirmedAt()}, now());
		const bitsPerMs = Math.min(store.linkMbps, engine.linkMbps) * kilobitsPerMegabit;
		const distance = store.domain === engineDomain ? 1 : otherDomainMoves;
		return {
			name,
			address: store.address,
			has: part => directory.has(text, part),
			fetchDeadlineMs: canRead ? directory.getFetchDeadlineMs(now()) : undefined,
			canSave: tokens => newerAt === undefined && canSave(tokens),
			estimateTransferMs: tokens => store.firstMs + (distance * tokens * engine.tokenBytes * bitsPerByte / bitsPerMs),
		};
	};

	return (prompt, engine, workspace, prefillTokensPerMs) => {
		const stores = orderStores(kept.stores(), prompt.parts.at(-2)?.id ?? '');
		const sharedParts = prompt.parts.slice(0, -1);
		const weightsOf = (upstream: Upstream): number => upstream.weights.get(prompt.model) ?? 0;

		/** What is the same for all engines with the same weights. */
		const scopeOf = memoize((version: string) => {
			const scope = toScope(prompt.model, Number(version), workspace);
			const text = formatScope(scope);
			const engines = new Map(sharedParts.map(({id}) => [id, lastEngine.get(formatPartKey(text, id))] as const));
			return {
				scope, text, engines, knownTo: new Set(engines.values()),
			};
		});
		const storesOf = memoize((_key: string, domain: string, version: string) => {
			const {scope, text} = scopeOf(version);
			return stores.map(store => toStoreView(store, scope, text, engine, domain));
		});

		return {
			isLikelyCachedAt(upstream) {
				return scopeOf(String(weightsOf(upstream))).knownTo.has(upstream.id);
			},
			at(upstream) {
				const version = String(weightsOf(upstream));
				const {text, engines} = scopeOf(version);
				const plan = planKvTransfers({
					parts: prompt.parts,
					stores: storesOf(`${version}\n${upstream.domain}`, upstream.domain, version),
					isInEngine: part => engines.get(part) === upstream.id,
					findOtherEngine(part) {
						const other = engines.get(part);
						return other === undefined || other === upstream.id ? undefined : book.get(other)?.address;
					},
					isBeingSaved: part => kept.isBeingSaved(text, part),
					prefillTokensPerMs,
					estimateEngineTransferMs: tokens => otherDomainMoves * tokens * engine.tokenBytes * bitsPerByte / (engine.linkMbps * kilobitsPerMegabit),
				});
				return {
					...plan,
					scope: text,
					recordSent() {
						for (const save of plan.saves) {
							kept.recordSave(save.store, text, save.part, save.tokens);
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
