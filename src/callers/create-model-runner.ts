import {randomUUID} from 'node:crypto';
import {type ContextTask} from '../context/context-task.js';
import {type PieceRecord} from '../context/piece-record.js';
import {type Piece} from '../decide/context/piece.js';
import {fetchPatience} from '../decide/context/fetch-patience.js';
import {splitPieces} from '../decide/context/split-pieces.js';
import {type RetryBudget} from '../decide/retries/retry-budget.js';
import {type EngineView} from '../decide/routing/engine-view.js';
import {type LinkEstimate} from '../decide/routing/link-estimate.js';
import {rankEngines} from '../decide/routing/rank-engines.js';
import {type Route} from '../decide/routing/route.js';
import {type WaitMemory} from '../decide/routing/wait-memory.js';
import {chooseVersion} from '../decide/routing/choose-version.js';
import {BrokenStreamError} from '../errors/broken-stream-error.js';
import {type Ran} from '../errors/ran.js';
import {Refusal} from '../errors/refusal.js';
import {type EngineStatus} from '../grants/engine-status.js';
import {type GrantAskerTask} from '../grants/grant-asker-task.js';
import {type Grant} from '../grants/grant.js';
import {type DecisionLog} from '../observe/decision-log.js';
import {type Metrics} from '../observe/metrics.js';
import {type PoisonTask} from '../poison/poison-task.js';
import {type StoreSettings} from '../settings/store-settings.js';
import {type Upstream} from '../settings/upstream.js';
import {type Engine} from '../upstreams/engine.js';
import {digest} from '../util/digest.js';
import {sleep} from '../util/sleep.js';
import {type ModelRequest} from './model-request.js';
import {type ModelRunner} from './model-runner.js';
import {type Usage} from './usage.js';

const stallMs = 5000;
const suspectPauseMs = 100;
const reportTimeoutMs = 300;
const comeBackMs = 2000;
const condemnedComeBackMs = 600_000;
const resumedPriority = 10;
const otherDomainMs = 3;
const ownDomainMs = 1;

/** What the model runner needs. */
type ModelRunnerOptions = {
	readonly domain: string;
	readonly asker: GrantAskerTask;
	readonly context: ContextTask;
	readonly poison: PoisonTask;
	readonly engineAt: (url: string) => Engine;
	readonly statusOf: (upstream: Upstream) => EngineStatus | undefined;
	readonly linkOf: (store: StoreSettings) => LinkEstimate;
	readonly waits: WaitMemory;
	readonly budgetOf: (service: string, share: number) => RetryBudget;
	readonly offer: (request: ModelRequest, engine: Upstream, pieces: readonly Piece[], found: ReadonlyArray<PieceRecord | undefined>, labels: readonly string[]) => void;
	readonly decisions: DecisionLog;
	readonly metrics: Metrics;
	readonly random: () => number;
};

/** Where and how a request is to run, and what is known of its pieces. */
type Plan = {
	readonly version: string;
	readonly pieces: readonly Piece[];
	readonly labels: readonly string[];
	readonly found: ReadonlyArray<PieceRecord | undefined>;
	readonly routes: readonly Route[];
};

/** Progress of a request over its attempts. */
type Progress = {
	/** Next token wanted. */
	offset: number;
	ran: Ran;
	/** Version of the first attempt; a resumed stream stays on it. */
	version: string | undefined;
	readonly failed: Set<string>;
};

/** Creates the function that runs completions. */
export function createModelRunner(options: ModelRunnerOptions): ModelRunner {
	const {domain, asker, context, poison, engineAt, statusOf, linkOf, waits, budgetOf, offer, decisions, metrics, random} = options;

	const listUsable = (request: ModelRequest, failed: ReadonlySet<string>): readonly Upstream[] => request.service.upstreams.filter(upstream =>
		!upstream.leaving && !failed.has(upstream.name) && !statusOf(upstream)?.leaving);

	/** Puts engines that fail behind all others. */
	const failingLast = (routes: readonly Route[], usable: readonly Upstream[]): readonly Route[] => {
		const failing = new Set(usable.filter(upstream => statusOf(upstream)?.isUp === false).map(upstream => upstream.name));
		return [...routes.filter(route => !failing.has(route.engine)), ...routes.filter(route => failing.has(route.engine))];
	};

	const toView = (upstream: Upstream, pieces: readonly Piece[], found: ReadonlyArray<PieceRecord | undefined>): EngineView => {
		const miss = pieces.findIndex((_, index) => !found[index]?.engines.includes(upstream.name));
		return {
			name: upstream.name,
			domain: upstream.domain,
			cachedPieces: miss === -1 ? pieces.length : miss,
			waitMs: waits.expectMs(upstream.name, Date.now()),
			prefillTokensPerS: upstream.prefillTokensPerS,
			distanceMs: upstream.domain === domain ? ownDomainMs : otherDomainMs,
		};
	};

	const fetchMs = (request: ModelRequest) => (store: string, bytes: number): number => {
		const settings = request.service.stores.find(candidate => candidate.name === store);
		return settings ? linkOf(settings).expectMs(bytes, Date.now()) : Number.POSITIVE_INFINITY;
	};

	const plan = async (request: ModelRequest, progress: Progress): Promise<Plan> => {
		const {service, model, workspace, prompt, hint} = request;
		const usable = listUsable(request, progress.failed);
		const loaded = usable.map(upstream => statusOf(upstream)?.loaded ?? [`${model.name}@${model.version}`]);
		const version = chooseVersion(model, loaded, progress.offset > 0 ? progress.version : undefined);
		if (version === undefined) {
			throw new Refusal('no-upstream', `no engine of service "${service.service}" can run model "${model.name}"`, progress.ran, comeBackMs);
		}

		const scope = {
			workspace: workspace.name, service: service.service, model: model.name, adapter: model.adapter ?? '', version,
		};
		const pieces = splitPieces(scope, prompt, service.pieceCharacters);
		const labels = pieces.map(piece => hint === undefined ? piece.key : digest(`${workspace.name}\n${hint}`));
		const found = await context.lookup(service.service, pieces.map(piece => piece.key), labels);
		const views = usable
			.filter((_, index) => loaded[index]!.includes(`${model.name}@${version}`))
			.map(upstream => toView(upstream, pieces, found));
		const routes = rankEngines({
			pieceTokens: pieces.map(piece => piece.tokens),
			stored: found.map(record => record?.stored),
			cost: service.cost,
			fetchMs: fetchMs(request),
		}, views, random);
		return {
			version, pieces, labels, found, routes: failingLast(routes, usable),
		};
	};

	const acquire = async (request: ModelRequest, progress: Progress, {routes, pieces}: Plan, isAlone: boolean): Promise<Grant> => {
		const {service, workspace, maxTokens, requestId} = request;
		const asked = Date.now();
		const promptTokens = routes[0]?.recomputedTokens ?? 0;
		try {
			const grant = await asker.acquire({
				requestId,
				candidates: routes.map(({engine, recomputedTokens}) => {
					const upstream = service.upstreams.find(candidate => candidate.name === engine)!;
					return {
						engine, domain: upstream.domain, url: upstream.url, prefillTokens: recomputedTokens,
					};
				}),
				item: {
					service: service.service, serviceWeight: service.weight, workspace: workspace.name, workspaceWeight: workspace.weight,
					cost: promptTokens + maxTokens - progress.offset,
				},
				keys: pieces.map(piece => piece.key),
				alone: isAlone,
				resumed: progress.offset > 0,
				deadlineAt: progress.offset > 0 ? Date.now() + service.limits.deadlineMs : request.deadlineAt,
				signal: request.signal,
			});
			decisions.note({
				requestId, what: 'grant', candidates: routes.slice(0, 3).map(route => ({engine: route.engine, score: route.score})), reason: `engine ${grant.engine} granted first`,
			});
			return grant;
		} catch (error) {
			const {kind, message, retryAfterMs} = error as Refusal;
			throw error instanceof Refusal ? new Refusal(kind, message, progress.ran, retryAfterMs) : error;
		} finally {
			metrics.queueing.observe({service: service.service}, (Date.now() - asked) / 1000);
		}
	};

	/** Imports the stored pieces of the route; stops at the first that is not as sealed. */
	const importPieces = async (request: ModelRequest, engine: Engine, route: Route, cachedPieces: number, {pieces, labels}: Plan): Promise<number> => {
		let bytes = 0;
		for (const piece of route.fetch) {
			const index = pieces.findIndex(candidate => candidate.key === piece.key);
			const store = request.service.stores.find(candidate => candidate.name === piece.store);
			if (index < cachedPieces || !store) {
				continue;
			}

			const link = linkOf(store);
			const began = Date.now();
			const patienceMs = fetchPatience(link.expectMs(piece.bytes, began));
			link.begin(piece.bytes);
			let isImported = false;
			try {
				isImported = await engine.importPiece(piece, store.url, patienceMs);
				link.end(piece.bytes, Date.now() - began, Date.now());
			} catch {
				// Too slow or broken: the rest is recomputed, and the piece may still be there another time.
				link.fail(piece.bytes, Date.now());
				break;
			}

			if (!isImported) {
				context.add([{
					service: request.service.service, label: labels[index]!, key: piece.key, workspace: request.workspace.name,
					tokens: pieces[index]!.tokens, depth: index, lost: true,
				}]);
				break;
			}

			bytes += piece.bytes;
		}

		metrics.linkBytes.inc({service: request.service.service, direction: 'in'}, bytes);
		return bytes;
	};

	/** Waits until a suspect may run alone. Returns the identity of its run, or `undefined` for an ordinary request. */
	const enterAlone = async (request: ModelRequest, progress: Progress, requestDigest: string): Promise<string | undefined> => {
		const run = randomUUID();
		while (poison.isSuspect(requestDigest)) {
			const verdict = await poison.begin(requestDigest, run);
			if (verdict === 'run-alone') {
				return run;
			}

			if (verdict === 'condemned') {
				throw new Refusal('condemned', 'this request crashed the upstreams that ran it', progress.ran, condemnedComeBackMs);
			}

			if (verdict === 'wait' && Date.now() >= request.deadlineAt) {
				throw new Refusal('deadline', 'the request waits for another run of itself', progress.ran, comeBackMs);
			}

			await sleep(suspectPauseMs, request.signal);
		}

		return undefined;
	};

	const isCrash = async (engine: Engine, error: BrokenStreamError): Promise<boolean> => {
		if (!error.isCut || !error.sent) {
			return false;
		}

		try {
			await engine.report(reportTimeoutMs);
			return false;
		} catch {
			return true;
		}
	};

	const stream = async (request: ModelRequest, progress: Progress, current: Plan, grant: Grant, onToken: (text: string) => Promise<void>): Promise<Usage> => {
		const {service, model, requestId} = request;
		const upstream = service.upstreams.find(candidate => candidate.name === grant.engine)!;
		const engine = engineAt(upstream.url);
		const route = current.routes.find(candidate => candidate.engine === grant.engine)!;
		await importPieces(request, engine, route, grant.cachedPieces ?? 0, current);
		const events = engine.run({
			attempt: grant.id,
			requestId,
			model: model.name,
			version: current.version,
			prompt: request.prompt,
			promptTokens: current.pieces.reduce((total, piece) => total + piece.tokens, 0),
			maxTokens: request.maxTokens,
			priority: progress.offset > 0 ? resumedPriority : 0,
			keys: current.pieces.map(piece => piece.key),
			offset: progress.offset,
			signal: request.signal,
			stallMs: stallMs + (2 * route.firstTokenMs),
		});
		for await (const event of events) {
			if (event.kind === 'end') {
				metrics.promptTokens.inc({service: service.service, work: 'cached'}, event.cachedTokens);
				metrics.promptTokens.inc({service: service.service, work: 'recomputed'}, event.promptTokens - event.cachedTokens);
				offer(request, upstream, current.pieces, current.found, current.labels);
				return event;
			}

			if (progress.offset === 0) {
				metrics.firstToken.observe({service: service.service}, (Date.now() - request.receivedAt) / 1000);
			}

			progress.offset++;
			progress.ran = 'yes';
			await onToken(event.text);
		}

		throw new BrokenStreamError('the stream ended early', true, true);
	};

	const onBroken = async (request: ModelRequest, progress: Progress, error: BrokenStreamError, engine: string, requestDigest: string): Promise<boolean> => {
		if (error.sent && progress.ran === 'no') {
			progress.ran = 'unknown';
		}

		progress.failed.add(engine);
		const upstream = request.service.upstreams.find(candidate => candidate.name === engine)!;
		const crashed = !request.signal.aborted && await isCrash(engineAt(upstream.url), error);
		if (crashed) {
			await poison.suspect(requestDigest);
		}

		decisions.note({requestId: request.requestId, what: 'broken', reason: `engine ${engine}: ${error.message}${crashed ? ' (crash)' : ''}`});
		return crashed;
	};

	const checkRetry = (request: ModelRequest, progress: Progress, budget: RetryBudget, error: BrokenStreamError): void => {
		if (request.signal.aborted) {
			throw new Refusal('slow-caller', 'the caller has gone', progress.ran);
		}

		if (!error.sent && Date.now() < request.deadlineAt) {
			return;
		}

		if (progress.offset === 0 && Date.now() >= request.deadlineAt) {
			throw new Refusal('deadline', 'no engine began the answer in time', progress.ran, comeBackMs);
		}

		if (!budget.spend()) {
			throw new Refusal('upstream-failed', `the engine failed and the retry budget is spent: ${error.message}`, progress.ran, comeBackMs);
		}
	};

	return async (request, onToken) => {
		const {requestId, service, workspace, model, prompt} = request;
		const requestDigest = digest(JSON.stringify([workspace.name, service.service, model.name, prompt]));
		const budget = budgetOf(service.service, service.limits.retryShare);
		const progress: Progress = {
			offset: 0, ran: 'no', version: undefined, failed: new Set(),
		};
		budget.earn();
		for (;;) {
			if (poison.isCondemned(requestDigest)) {
				throw new Refusal('condemned', 'this request crashed the upstreams that ran it', progress.ran, condemnedComeBackMs);
			}

			const run = await enterAlone(request, progress, requestDigest);
			let crashed = false;
			let hasRun = false;
			let hasFailed = false;
			let grant: Grant | undefined;
			const sent = progress.offset;
			try {
				const current = await plan(request, progress);
				progress.version = current.version;
				decisions.note({
					requestId,
					what: 'route',
					candidates: current.routes.map(({engine, score, firstTokenMs, recomputedTokens, linkBytes}) => ({
						engine, score, firstTokenMs, recomputedTokens, linkBytes,
					})),
					reason: run === undefined ? `least score first, version ${current.version}` : 'suspect runs alone',
				});
				grant = await acquire(request, progress, current, run !== undefined);
				hasRun = true;
				const usage = await stream(request, progress, current, grant, onToken);
				decisions.note({requestId, what: 'done', reason: `${usage.completionTokens} tokens, ${usage.cachedTokens} of ${usage.promptTokens} prompt tokens cached`});
				return usage;
			} catch (error) {
				if (!(error instanceof BrokenStreamError)) {
					throw error;
				}

				hasFailed = true;
				crashed = await onBroken(request, progress, error, grant!.engine, requestDigest);
				checkRetry(request, progress, budget, error);
			} finally {
				grant?.release(progress.offset - sent, hasFailed && !request.signal.aborted);
				if (run !== undefined && hasRun) {
					await poison.end(requestDigest, run, crashed);
				}
			}
		}
	};
}
