import {randomUUID} from 'node:crypto';
import {type IsolatedRunOutcome} from '../decide/poison/isolated-run-outcome.js';
import {type RetryBudget} from '../decide/retries/retry-budget.js';
import {UpstreamResponseError} from '../errors/upstream-response-error.js';
import {Refusal} from '../errors/refusal.js';
import {type SlotRequesterTask} from '../grants/slot-requester-task.js';
import {type Grant} from '../grants/grant.js';
import {type DecisionLog} from '../observe/decision-log.js';
import {type Metrics} from '../observe/metrics.js';
import {type PoisonRequestTask} from '../poison/poison-request-task.js';
import {type UpstreamSettings} from '../settings/upstream-settings.js';
import {type Engine} from '../upstreams/engine.js';
import {computeSha256} from '../util/compute-sha256.js';
import {sleep} from '../util/sleep.js';
import {type createPieceImporter} from './create-piece-importer.js';
import {type createCompletionPlanner} from './create-completion-planner.js';
import {type CompletionRequest} from './completion-request.js';
import {type CompletionRunner} from './completion-runner.js';
import {type CompletionPlan} from './completion-plan.js';
import {type CompletionProgress} from './completion-progress.js';
import {type Usage} from './usage.js';

/** Shortest time without a token after which a stream counts as broken; twice the expected time to first token is added. */
const baseStallTimeoutMs = 5000;
const suspectPollIntervalMs = 100;
/** An engine that closed the connection and does not report its load within this time counts as crashed. */
const crashCheckTimeoutMs = 300;
const defaultRetryAfterMs = 2000;
const condemnedRetryAfterMs = 600_000;
/** Priority of a resumed completion at the engine; all others have priority 0. */
const resumedPriority = 10;

/** Options of `createCompletionRunner`. */
type CompletionRunnerOptions = {
	readonly plan: ReturnType<typeof createCompletionPlanner>;
	readonly importPieces: ReturnType<typeof createPieceImporter>;
	readonly slotRequester: SlotRequesterTask;
	readonly poison: PoisonRequestTask;
	/** Returns the client of the engine at a URL. */
	readonly engineAt: (url: string) => Engine;
	/** Returns the retry budget of a service; `share` is the allowed share of retries. */
	readonly getRetryBudget: (service: string, share: number) => RetryBudget;
	/** Publishes the pieces that the engine has now cached to the piece index and offers them to the cache store. */
	readonly publishPieces: (request: CompletionRequest, engine: UpstreamSettings, plan: CompletionPlan) => void;
	readonly decisions: DecisionLog;
	readonly metrics: Metrics;
};

/** Creates the function that runs completions: it plans, acquires a slot, streams the tokens and retries within the budget. */
export function createCompletionRunner(options: CompletionRunnerOptions): CompletionRunner {
	const {plan, importPieces, slotRequester, poison, engineAt, getRetryBudget, publishPieces, decisions, metrics} = options;

	/** Acquires a slot at one of the planned engines. */
	const acquire = async (request: CompletionRequest, progress: CompletionProgress, {routes, pieces}: CompletionPlan, isAlone: boolean): Promise<Grant> => {
		const {service, workspace, maxTokens, requestId} = request;
		const acquireStartedAt = Date.now();
		const promptTokens = routes[0]?.recomputedTokens ?? 0;
		try {
			const grant = await slotRequester.acquire({
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
			decisions.record({
				requestId, what: 'grant', candidates: routes.slice(0, 3).map(route => ({engine: route.engine, score: route.score})), reason: `engine ${grant.engine} was the first to grant a slot`,
			});
			return grant;
		} catch (error) {
			const {kind, message, retryAfterMs} = error as Refusal;
			throw error instanceof Refusal ? new Refusal(kind, message, progress.ran, retryAfterMs) : error;
		} finally {
			metrics.queueing.observe({service: service.service}, (Date.now() - acquireStartedAt) / 1000);
		}
	};

	/**
	Waits until a request that is suspected of crashing engines may run in isolation.

	@returns The id of the isolated run, or `undefined` for a request that is not suspected.
	*/
	const waitForIsolatedRun = async (request: CompletionRequest, progress: CompletionProgress, requestDigest: string): Promise<string | undefined> => {
		const runId = randomUUID();
		while (poison.isSuspect(requestDigest)) {
			const verdict = await poison.begin(requestDigest, runId);
			if (verdict === 'run-alone') {
				return runId;
			}

			if (verdict === 'condemned') {
				throw new Refusal('condemned', 'this request crashed the upstreams that ran it', progress.ran, condemnedRetryAfterMs);
			}

			if (request.signal.aborted) {
				throw new Refusal('slow-caller', 'the caller closed the connection', progress.ran);
			}

			if (verdict === 'wait' && Date.now() >= request.deadlineAt) {
				throw new Refusal('deadline', 'an isolated run of the same request did not end before the deadline', progress.ran, defaultRetryAfterMs);
			}

			await sleep(suspectPollIntervalMs, request.signal);
		}

		return undefined;
	};

	/** Checks whether the engine crashed: it closed the connection and does not answer a request for its load. */
	const isCrash = async (engine: Engine, error: UpstreamResponseError): Promise<boolean> => {
		if (!error.isConnectionClosed || !error.mayHaveRun) {
			return false;
		}

		try {
			await engine.report(crashCheckTimeoutMs);
			return false;
		} catch {
			return true;
		}
	};

	/** Imports the stored pieces into the engine and streams the remaining tokens from it. */
	const streamFromEngine = async (request: CompletionRequest, progress: CompletionProgress, currentPlan: CompletionPlan, grant: Grant, onToken: (text: string) => Promise<void>): Promise<Usage> => {
		const {service, model, requestId} = request;
		const upstream = service.upstreams.find(candidate => candidate.name === grant.engine)!;
		const engine = engineAt(upstream.url);
		const route = currentPlan.routes.find(candidate => candidate.engine === grant.engine)!;
		await importPieces(request, engine, route, grant.cachedPieces ?? 0, currentPlan);
		const events = engine.run({
			attempt: grant.id,
			requestId,
			model: model.name,
			version: currentPlan.version,
			prompt: request.prompt,
			promptTokens: currentPlan.pieces.reduce((total, piece) => total + piece.tokens, 0),
			maxTokens: request.maxTokens,
			priority: progress.offset > 0 ? resumedPriority : 0,
			keys: currentPlan.pieces.map(piece => piece.key),
			offset: progress.offset,
			signal: request.signal,
			stallTimeoutMs: baseStallTimeoutMs + (2 * route.firstTokenMs),
		});
		for await (const event of events) {
			if (event.kind === 'end') {
				metrics.promptTokens.inc({service: service.service, work: 'cached'}, event.cachedTokens);
				metrics.promptTokens.inc({service: service.service, work: 'recomputed'}, event.promptTokens - event.cachedTokens);
				publishPieces(request, upstream, currentPlan);
				return event;
			}

			if (progress.offset === 0) {
				metrics.firstToken.observe({service: service.service}, (Date.now() - request.receivedAt) / 1000);
			}

			progress.offset++;
			progress.ran = 'yes';
			await onToken(event.text);
		}

		throw new UpstreamResponseError('the stream ended before its final event', true, true);
	};

	/** Records that a stream broke and marks the request as suspect if the engine crashed; returns whether it did. */
	const recordBrokenStream = async (request: CompletionRequest, progress: CompletionProgress, error: UpstreamResponseError, engine: string, requestDigest: string): Promise<boolean> => {
		if (error.mayHaveRun && progress.ran === 'no') {
			progress.ran = 'unknown';
		}

		progress.failedEngines.add(engine);
		const upstream = request.service.upstreams.find(candidate => candidate.name === engine)!;
		const crashed = !request.signal.aborted && await isCrash(engineAt(upstream.url), error);
		if (crashed) {
			await poison.suspect(requestDigest);
		}

		decisions.record({requestId: request.requestId, what: 'broken', reason: `engine ${engine}: ${error.message}${crashed ? ' (crash)' : ''}`});
		return crashed;
	};

	/** Throws unless the request may be tried again. An attempt that provably did not run takes nothing from the retry budget. */
	const assertMayRetry = (request: CompletionRequest, progress: CompletionProgress, budget: RetryBudget, error: UpstreamResponseError): void => {
		if (request.signal.aborted) {
			throw new Refusal('slow-caller', 'the caller closed the connection', progress.ran);
		}

		if (!error.mayHaveRun && Date.now() < request.deadlineAt) {
			return;
		}

		if (progress.offset === 0 && Date.now() >= request.deadlineAt) {
			throw new Refusal('deadline', 'no engine started the response before the deadline', progress.ran, defaultRetryAfterMs);
		}

		if (!budget.tryWithdraw()) {
			throw new Refusal('upstream-failed', `the engine failed and the retry budget is exhausted: ${error.message}`, progress.ran, defaultRetryAfterMs);
		}
	};

	return async (request, onToken) => {
		const {requestId, service, workspace, model, prompt} = request;
		const requestDigest = computeSha256(JSON.stringify([workspace.name, service.service, model.name, prompt]));
		const budget = getRetryBudget(service.service, service.limits.retryShare);
		const progress: CompletionProgress = {
			offset: 0, ran: 'no', version: undefined, failedEngines: new Set(),
		};
		budget.deposit();
		for (;;) {
			if (poison.isCondemned(requestDigest)) {
				throw new Refusal('condemned', 'this request crashed the upstreams that ran it', progress.ran, condemnedRetryAfterMs);
			}

			const runId = await waitForIsolatedRun(request, progress, requestDigest);
			let outcome: IsolatedRunOutcome = 'not-run';
			let hasFailed = false;
			let grant: Grant | undefined;
			const startOffset = progress.offset;
			try {
				const currentPlan = await plan(request, progress);
				progress.version = currentPlan.version;
				decisions.record({
					requestId,
					what: 'route',
					candidates: currentPlan.routes.map(({engine, score, firstTokenMs, recomputedTokens, linkBytes}) => ({
						engine, score, firstTokenMs, recomputedTokens, linkBytes,
					})),
					reason: runId === undefined ? `lowest score first, version ${currentPlan.version}` : 'isolated run of a suspect request',
				});
				grant = await acquire(request, progress, currentPlan, runId !== undefined);
				const usage = await streamFromEngine(request, progress, currentPlan, grant, onToken);
				outcome = 'completed';
				decisions.record({requestId, what: 'done', reason: `${usage.completionTokens} tokens, ${usage.cachedTokens} of ${usage.promptTokens} prompt tokens cached`});
				return usage;
			} catch (error) {
				if (!(error instanceof UpstreamResponseError)) {
					throw error;
				}

				hasFailed = true;
				const crashed = await recordBrokenStream(request, progress, error, grant!.engine, requestDigest);
				outcome = crashed ? 'crashed' : 'not-run';
				assertMayRetry(request, progress, budget, error);
			} finally {
				grant?.release(progress.offset - startOffset, hasFailed && !request.signal.aborted);
				if (runId !== undefined) {
					// A run that failed without a crash neither clears nor condemns the suspect; it counts as not run.
					await poison.end(requestDigest, runId, outcome);
				}
			}
		}
	};
}
