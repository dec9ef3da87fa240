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

const stallMs = 5000;
const suspectPauseMs = 100;
const reportTimeoutMs = 300;
const comeBackMs = 2000;
const condemnedComeBackMs = 600_000;
const resumedPriority = 10;

/** What the model runner needs. */
type CompletionRunnerOptions = {
	readonly plan: ReturnType<typeof createCompletionPlanner>;
	readonly importPieces: ReturnType<typeof createPieceImporter>;
	readonly asker: SlotRequesterTask;
	readonly poison: PoisonRequestTask;
	readonly engineAt: (url: string) => Engine;
	readonly budgetOf: (service: string, share: number) => RetryBudget;
	/** Offers what the engine has cached now to the directory and to the store. */
	readonly offer: (request: CompletionRequest, engine: UpstreamSettings, plan: CompletionPlan) => void;
	readonly decisions: DecisionLog;
	readonly metrics: Metrics;
};

/** Creates the function that runs completions. */
export function createCompletionRunner(options: CompletionRunnerOptions): CompletionRunner {
	const {plan, importPieces, asker, poison, engineAt, budgetOf, offer, decisions, metrics} = options;

	const acquire = async (request: CompletionRequest, progress: CompletionProgress, {routes, pieces}: CompletionPlan, isAlone: boolean): Promise<Grant> => {
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
			decisions.record({
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

	/** Waits until a suspect may run alone. Returns the identity of its run, or `undefined` for an ordinary request. */
	const enterAlone = async (request: CompletionRequest, progress: CompletionProgress, requestDigest: string): Promise<string | undefined> => {
		const run = randomUUID();
		while (poison.isSuspect(requestDigest)) {
			const verdict = await poison.begin(requestDigest, run);
			if (verdict === 'run-alone') {
				return run;
			}

			if (verdict === 'condemned') {
				throw new Refusal('condemned', 'this request crashed the upstreams that ran it', progress.ran, condemnedComeBackMs);
			}

			if (request.signal.aborted) {
				throw new Refusal('slow-caller', 'the caller has gone', progress.ran);
			}

			if (verdict === 'wait' && Date.now() >= request.deadlineAt) {
				throw new Refusal('deadline', 'the request waits for another run of itself', progress.ran, comeBackMs);
			}

			await sleep(suspectPauseMs, request.signal);
		}

		return undefined;
	};

	const isCrash = async (engine: Engine, error: UpstreamResponseError): Promise<boolean> => {
		if (!error.isConnectionClosed || !error.mayHaveBeenSent) {
			return false;
		}

		try {
			await engine.report(reportTimeoutMs);
			return false;
		} catch {
			return true;
		}
	};

	const stream = async (request: CompletionRequest, progress: CompletionProgress, current: CompletionPlan, grant: Grant, onToken: (text: string) => Promise<void>): Promise<Usage> => {
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
			stallTimeoutMs: stallMs + (2 * route.firstTokenMs),
		});
		for await (const event of events) {
			if (event.kind === 'end') {
				metrics.promptTokens.inc({service: service.service, work: 'cached'}, event.cachedTokens);
				metrics.promptTokens.inc({service: service.service, work: 'recomputed'}, event.promptTokens - event.cachedTokens);
				offer(request, upstream, current);
				return event;
			}

			if (progress.offset === 0) {
				metrics.firstToken.observe({service: service.service}, (Date.now() - request.receivedAt) / 1000);
			}

			progress.offset++;
			progress.ran = 'yes';
			await onToken(event.text);
		}

		throw new UpstreamResponseError('the stream ended early', true, true);
	};

	const onBroken = async (request: CompletionRequest, progress: CompletionProgress, error: UpstreamResponseError, engine: string, requestDigest: string): Promise<boolean> => {
		if (error.mayHaveBeenSent && progress.ran === 'no') {
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

	const checkRetry = (request: CompletionRequest, progress: CompletionProgress, budget: RetryBudget, error: UpstreamResponseError): void => {
		if (request.signal.aborted) {
			throw new Refusal('slow-caller', 'the caller has gone', progress.ran);
		}

		if (!error.mayHaveBeenSent && Date.now() < request.deadlineAt) {
			return;
		}

		if (progress.offset === 0 && Date.now() >= request.deadlineAt) {
			throw new Refusal('deadline', 'no engine began the answer in time', progress.ran, comeBackMs);
		}

		if (!budget.tryWithdraw()) {
			throw new Refusal('upstream-failed', `the engine failed and the retry budget is spent: ${error.message}`, progress.ran, comeBackMs);
		}
	};

	return async (request, onToken) => {
		const {requestId, service, workspace, model, prompt} = request;
		const requestDigest = computeSha256(JSON.stringify([workspace.name, service.service, model.name, prompt]));
		const budget = budgetOf(service.service, service.limits.retryShare);
		const progress: CompletionProgress = {
			offset: 0, ran: 'no', version: undefined, failedEngines: new Set(),
		};
		budget.deposit();
		for (;;) {
			if (poison.isCondemned(requestDigest)) {
				throw new Refusal('condemned', 'this request crashed the upstreams that ran it', progress.ran, condemnedComeBackMs);
			}

			const run = await enterAlone(request, progress, requestDigest);
			let end: IsolatedRunOutcome = 'not-run';
			let hasFailed = false;
			let grant: Grant | undefined;
			const sent = progress.offset;
			try {
				const current = await plan(request, progress);
				progress.version = current.version;
				decisions.record({
					requestId,
					what: 'route',
					candidates: current.routes.map(({engine, score, firstTokenMs, recomputedTokens, linkBytes}) => ({
						engine, score, firstTokenMs, recomputedTokens, linkBytes,
					})),
					reason: run === undefined ? `least score first, version ${current.version}` : 'suspect runs alone',
				});
				grant = await acquire(request, progress, current, run !== undefined);
				const usage = await stream(request, progress, current, grant, onToken);
				end = 'completed';
				decisions.record({requestId, what: 'done', reason: `${usage.completionTokens} tokens, ${usage.cachedTokens} of ${usage.promptTokens} prompt tokens cached`});
				return usage;
			} catch (error) {
				if (!(error instanceof UpstreamResponseError)) {
					throw error;
				}

				hasFailed = true;
				const crashed = await onBroken(request, progress, error, grant!.engine, requestDigest);
				end = crashed ? 'crashed' : 'not-run';
				checkRetry(request, progress, budget, error);
			} finally {
				grant?.release(progress.offset - sent, hasFailed && !request.signal.aborted);
				if (run !== undefined) {
					// A run that broke without a crash says nothing of the suspect.
					await poison.end(requestDigest, run, end);
				}
			}
		}
	};
}
