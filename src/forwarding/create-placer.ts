import {rankUpstreams} from '../decide/forwarding/rank-upstreams.js';
import {type UpstreamView} from '../decide/forwarding/upstream-view.js';
import {canReadScope} from '../decide/kept/can-read-scope.js';
import {planKeptContext, type KeptPlan, type StoreView} from '../decide/kept/plan-kept-context.js';
import {type Scope} from '../decide/kept/scope.js';
import {writeScope} from '../decide/kept/write-scope.js';
import {rankOwners} from '../decide/membership/rank-owners.js';
import {type CallerCall} from './caller-call.js';
import {type KeptStore, type KeptTask} from './create-kept-task.js';
import {type Placed} from './placed.js';
import {type Service} from './service.js';
import {type UpstreamBook} from './upstream-book.js';
import {type Workspace} from './workspace.js';

const costs = {
	tokensPerMs: 90, requestMs: 4, otherDomainMs: 3, failureMs: 400,
};
const mostUrgent = 0;
const leastUrgent = 9;
const bitsPerByte = 8;
const kilobitsPerMegabit = 1000;
/** Moves between failure domains take this many times as long. */
const otherDomainMoves = 2;
/** Share of the time to read a part that is saved where the part was sent to the same engine before. */
const homeGain = 0.5;
/** Parts of which this host remembers the engine that it sent them to last. */
const rememberedParts = 20_000;

/** What the placer needs. */
type PlacerOptions = {
	readonly domain: string;
	readonly book: UpstreamBook;
	readonly serviceOf: (name: string) => Service | undefined;
	readonly kept: Pick<KeptTask, 'stores' | 'isBeingSaved' | 'noteSave'>;
	/** When this host learned of newer weights of a model than a version. */
	readonly newerKnownAt: (model: string, version: number) => number | undefined;
	/** When the newest weights were last confirmed. */
	readonly weightsConfirmedAt: () => number | undefined;
	readonly now: () => number;
	/** Clock that counts suspensions, for fetches from stores. */
	readonly elapsed: () => number;
	readonly random: () => number;
};

/** Gives the scope of a request's context: its weights, and its workspace where that is isolated. */
function toScope(model: string, version: number, workspace: Workspace | undefined): Scope {
	return {model, version, workspace: workspace?.isIsolated ? workspace.name : undefined};
}

/** Creates the function that chooses an upstream for a request and how the request is sent there. */
export function createPlacer(options: PlacerOptions) {
	const {domain, book, serviceOf, kept, newerKnownAt: namedAfter, weightsConfirmedAt, now, elapsed, random} = options;
	const lastEngine = new Map<string, string>();

	const remember = (key: string, upstreamId: string): void => {
		lastEngine.delete(key);
		lastEngine.set(key, upstreamId);
		if (lastEngine.size > rememberedParts) {
			const [oldest] = lastEngine.keys();
			lastEngine.delete(oldest!);
		}
	};

	const toStoreView = ({name, store, directory, canSave}: KeptStore, scope: Scope, engine: NonNullable<Service['engine']>, engineDomain: string): StoreView => {
		const bitsPerMs = Math.min(store.linkMbps, engine.linkMbps) * kilobitsPerMegabit;
		const text = writeScope(scope);
		const newerKnownAt = namedAfter(scope.model, scope.version);
		const distance = store.domain === engineDomain ? 1 : otherDomainMoves;
		return {
			name,
			address: store.address,
			has: part => directory.has(text, part),
			fetchUntil: canReadScope({newerKnownAt, confirmedAt: weightsConfirmedAt()}, elapsed()) ? directory.fetchUntil(elapsed()) : undefined,
			canSave: tokens => newerKnownAt === undefined && canSave(tokens),
			moveMs: tokens => store.firstMs + (distance * tokens * engine.tokenBytes * bitsPerByte / bitsPerMs),
		};
	};

	const planAt = (view: UpstreamView, call: CallerCall, engine: NonNullable<Service['engine']>): KeptPlan => {
		const prompt = call.request.prompt!;
		const {upstream} = view;
		const scope = toScope(prompt.model, upstream.weights.get(prompt.model) ?? 0, call.workspace);
		const text = writeScope(scope);
		const views = kept.stores().map(store => toStoreView(store, scope, engine, upstream.domain));
		const [, shared] = prompt.parts.toReversed();
		const order = rankOwners(views.map(view => view.name), shared?.id ?? '');
		return planKeptContext({
			parts: prompt.parts,
			stores: views.toSorted((a, b) => order.indexOf(a.name) - order.indexOf(b.name)),
			engineHas: part => lastEngine.get(`${text}\n${part}`) === upstream.id,
			otherEngine(part) {
				const other = lastEngine.get(`${text}\n${part}`);
				return other === undefined || other === upstream.id ? undefined : book.get(other)?.address;
			},
			isBeingSaved: part => kept.isBeingSaved(text, part),
			tokensPerMs: costs.tokensPerMs,
			engineMoveMs: tokens => otherDomainMoves * tokens * engine.tokenBytes * bitsPerByte / (engine.linkMbps * kilobitsPerMegabit),
		});
	};

	return (call: CallerCall, serviceName: string, tried: ReadonlySet<string>): Placed | undefined => {
		const {request: {prompt}, route, workspace} = call;
		const engine = serviceOf(serviceName)?.engine;
		const views = book.views(serviceName, now());
		const fresh = views.filter(view => !tried.has(view.upstream.id));
		const candidates = fresh.length > 0 ? fresh : views;
		const plans = new Map<string, KeptPlan>(prompt && engine ? candidates.map(view => [view.upstream.id, planAt(view, call, engine)]) : []);
		const heldTokens = (prompt?.promptTokens ?? 0) + (prompt?.expectedOutputTokens ?? prompt?.outputTokens ?? 0);
		const [, sharedPart] = prompt?.parts.toReversed() ?? [];
		const home = sharedPart && rankOwners(candidates.map(view => view.upstream.id), sharedPart.id)[0];
		const [best] = rankUpstreams(candidates, {
			domain,
			readMs(id) {
				const readMs = plans.get(id)?.parts.reduce((sum, part) => sum + part.readMs, 0) ?? 0;
				return id === home ? readMs * homeGain : readMs;
			},
			heldTokens,
			memoryTokens: engine?.memoryTokens,
			costs,
			random,
		});
		if (!best) {
			return undefined;
		}

		const {id, weights} = best.upstream;
		const plan = plans.get(id);
		const weightVersion = prompt && weights.get(prompt.model);
		const scope = weightVersion === undefined ? undefined : writeScope(toScope(prompt!.model, weightVersion, workspace));
		if (prompt && plan && scope !== undefined) {
			for (const save of plan.saves) {
				kept.noteSave(save.store, scope, save.part, save.tokens);
			}

			for (const part of prompt.parts.slice(0, -1)) {
				remember(`${scope}\n${part.id}`, id);
			}
		}

		return {
			upstream: best.upstream,
			missingTokens: plan?.missingTokens ?? 0,
			heldTokens,
			inFlight: best.inFlight,
			reason: id === home ? 'least expected wait, home of the shared part' : 'least expected wait',
			options: {
				upstreamId: id,
				workspace: workspace?.name,
				urgency: prompt ? Math.min(leastUrgent, Math.max(mostUrgent, workspace?.priority ?? route.priority)) : undefined,
				weightVersion,
				scope,
				fetchFrom: plan?.parts.map(part => part.fetchFrom) ?? [],
				fetchUntil: plan?.fetchUntil,
				saveTo: plan?.parts.map(part => part.saveTo) ?? [],
			},
		};
	};
}
