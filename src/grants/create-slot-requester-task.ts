import {randomUUID} from 'node:crypto';
import {type SlotResponse} from '../decide/grants/slot-response.js';
import {type SlotRequest} from '../decide/grants/slot-request.js';
import {type ActiveGrant} from '../decide/grants/active-grant.js';
import {type EngineWaitEstimator} from '../decide/routing/engine-wait-estimator.js';
import {PeerUnreachableError} from '../errors/peer-unreachable-error.js';
import {Refusal} from '../errors/refusal.js';
import {type OwnerResolver} from '../membership/owner-resolver.js';
import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type PeerMethodName} from '../peers/peer-method-name.js';
import {type PeerMethods} from '../peers/peer-methods.js';
import {type Engine} from '../upstreams/engine.js';
import {sleep} from '../util/sleep.js';
import {type SlotRequesterTask} from './slot-requester-task.js';
import {type EngineOwnerTask} from './engine-owner-task.js';
import {type AcquireOptions} from './acquire-options.js';
import {type Grant} from './grant.js';

const renewMs = 3000;
const answerSlackMs = 500;
const directReportMs = 300;
const directAtOnce = 1;
const movedPauseMs = 100;
const movedTries = 30;
const comeBackMs = 1000;
/** An owner that does not answer is told so many times that a request has ended, with growing pauses; a grant lapses after 10 s. */
const tellTries = 4;
const tellPauseMs = 150;

/** What the asker task needs. */
type SlotRequesterTaskOptions = {
	readonly self: string;
	readonly owners: OwnerResolver;
	readonly call: PeerRpc;
	readonly local: EngineOwnerTask;
	readonly engineAt: (url: string) => Engine;
	readonly waits: EngineWaitEstimator;
	/** Owners asked at the same time for one request. */
	readonly fanout: number;
};

type Candidate = AcquireOptions['candidates'][number];

/** Starts the task that asks for grants. */
export function createSlotRequesterTask(options: SlotRequesterTaskOptions): SlotRequesterTask {
	const {self, owners, call, local, engineAt, waits, fanout} = options;
	const running = new Map<string, {readonly grant: ActiveGrant; readonly domain: string}>();
	const waiting = new Map<string, {readonly engine: string; readonly domain: string; readonly owner: string; readonly abort: AbortController}>();
	const direct = new Map<string, number>();

	const callOwner = async <M extends PeerMethodName & keyof EngineOwnerTask['handlers']>(
		candidate: Pick<Candidate, 'engine' | 'domain'>,
		method: M,
		params: PeerMethods[M]['params'],
		timing: {readonly timeoutMs?: number; readonly signal?: AbortSignal} = {},
	): Promise<PeerMethods[M]['result']> => {
		const owner = owners.inDomain(candidate.domain, candidate.engine);
		if (!owner) {
			throw new PeerUnreachableError(candidate.domain, method, 'no host of the domain is up');
		}

		if (owner.name === self) {
			return local.handlers[method](params);
		}

		return call(owner.peers, method, params, timing);
	};

	/** Tells an owner that a request has ended, again where it does not answer: until it hears of it, or the grant lapses, a slot stays taken. */
	const tellOwner = async <M extends 'grant.withdraw' | 'grant.release'>(candidate: Pick<Candidate, 'engine' | 'domain'>, method: M, params: PeerMethods[M]['params']): Promise<void> => {
		for (let tries = 1; ; tries++) {
			try {
				await callOwner(candidate, method, params);
				return;
			} catch (error) {
				if (tries === tellTries) {
					log.warn({
						engine: candidate.engine, grant: params.id, method, tries, error: String(error),
					}, 'owner does not hear that a grant has ended; it lapses');
					return;
				}

				await sleep(tellPauseMs * tries);
			}
		}
	};

	const hold = (candidate: Candidate, ask: SlotRequest, answer: SlotResponse): Grant => {
		const {leftMs, keys, prefillTokens, engine, host, alone, resumed, ...item} = ask;
		running.set(ask.id, {
			grant: {
				engine, host, alone, item,
			}, domain: candidate.domain,
		});
		return {
			id: ask.id,
			engine,
			cachedPieces: answer.cachedPieces,
			release(tokens, hasFailed) {
				if (running.delete(ask.id)) {
					void tellOwner(candidate, 'grant.release', {
						engine, id: ask.id, tokens, hasFailed,
					});
				}
			},
		};
	};

	/** Uses an engine without its owner, within a small allowance, after asking the engine itself. */
	const goDirect = async (candidate: Candidate, wish: AcquireOptions): Promise<Grant> => {
		const {engine, url} = candidate;
		const used = direct.get(engine) ?? 0;
		if (used >= directAtOnce || wish.alone) {
			throw new Refusal('no-upstream', `the owner of engine ${engine} is out of reach`, 'no', comeBackMs);
		}

		direct.set(engine, used + 1);
		const leave = (): void => {
			direct.set(engine, (direct.get(engine) ?? 1) - 1);
		};

		try {
			const report = await engineAt(url).report(directReportMs);
			if (report.leaving) {
				throw new Refusal('no-upstream', `engine ${engine} is leaving`, 'no', comeBackMs);
			}
		} catch (error) {
			leave();
			throw error instanceof Refusal ? error : new Refusal('no-upstream', `engine ${engine} is out of reach`, 'no', comeBackMs);
		}

		return {
			id: randomUUID(), engine, cachedPieces: undefined, release: leave,
		};
	};

	const askOwner = async (candidate: Candidate, wish: AcquireOptions, signal: AbortSignal): Promise<Grant> => {
		const {engine, domain} = candidate;
		for (let tries = 1; ; tries++) {
			const owner = owners.inDomain(domain, engine);
			if (!owner || (owner.state === 'suspect' && owner.name !== self)) {
				return goDirect(candidate, wish);
			}

			const leftMs = wish.deadlineAt - Date.now();
			const ask: SlotRequest = {
				...wish.item, id: randomUUID(), engine, host: self, leftMs, keys: wish.keys, prefillTokens: candidate.prefillTokens, alone: wish.alone, resumed: wish.resumed,
			};
			const abort = new AbortController();
			waiting.set(ask.id, {
				engine, domain, owner: owner.name, abort,
			});
			const withdraw = (): void => {
				void tellOwner(candidate, 'grant.withdraw', {engine, id: ask.id});
			};

			signal.addEventListener('abort', withdraw, {once: true});
			try {
				const answer = await callOwner(candidate, 'grant.ask', ask, {timeoutMs: leftMs + answerSlackMs, signal: AbortSignal.any([abort.signal, signal])});
				waits.record(engine, answer.waitMs, Date.now());
				if (signal.aborted) {
					withdraw();
					throw new Refusal('deadline', 'another engine granted first', 'no');
				}

				return hold(candidate, ask, answer);
			} catch (error) {
				if (error instanceof Refusal && error.retryAfterMs !== undefined) {
					waits.record(engine, error.retryAfterMs, Date.now());
				}

				const hasMoved = abort.signal.aborted || (error instanceof Refusal && error.kind === 'not-ready');
				if (hasMoved && !signal.aborted && tries < movedTries && Date.now() < wish.deadlineAt) {
					await sleep(movedPauseMs);
					continue;
				}

				if (error instanceof PeerUnreachableError && !signal.aborted) {
					return await goDirect(candidate, wish);
				}

				throw error;
			} finally {
				waiting.delete(ask.id);
				signal.removeEventListener('abort', withdraw);
			}
		}
	};

	const askSome = async (candidates: readonly Candidate[], wish: AcquireOptions): Promise<Grant> => {
		const losers = candidates.map(() => new AbortController());
		const asks = candidates.map(async (candidate, index) => {
			const grant = await askOwner(candidate, wish, AbortSignal.any([losers[index]!.signal, wish.signal]));
			return {grant, index};
		});
		const {grant, index: winner} = await Promise.any(asks);
		for (const [index, loser] of losers.entries()) {
			if (index !== winner) {
				loser.abort();
			}
		}

		for (const ask of asks) {
			void ask.then(other => {
				if (other.index !== winner) {
					other.grant.release(0, false);
				}
			}, () => undefined);
		}

		return grant;
	};

	const renew = (): void => {
		const byOwner = new Map<string, ActiveGrant[]>();
		for (const {grant, domain} of running.values()) {
			const owner = owners.inDomain(domain, grant.engine);
			if (owner) {
				byOwner.set(owner.name, [...byOwner.get(owner.name) ?? [], grant]);
			}
		}

		for (const [name, grants] of byOwner) {
			if (name === self) {
				void local.handlers['grant.renew']({host: self, grants});
			} else {
				const {peers} = owners.liveHosts().find(member => member.name === name)!;
				call(peers, 'grant.renew', {host: self, grants}).catch(() => undefined);
			}
		}
	};

	const renewing = setInterval(renew, renewMs);

	return {
		running: () => running.size,
		onOwnersChange() {
			renew();
			for (const {engine, domain, owner, abort} of waiting.values()) {
				const now = owners.inDomain(domain, engine);
				if (now?.name !== owner || now.state === 'suspect') {
					abort.abort();
				}
			}
		},
		async acquire(wish) {
			let last: unknown;
			for (let at = 0; at < wish.candidates.length; at += fanout) {
				if (Date.now() >= wish.deadlineAt || wish.signal.aborted) {
					break;
				}

				try {
					return await askSome(wish.candidates.slice(at, at + fanout), wish);
				} catch (error) {
					last = (error as AggregateError).errors?.[0] ?? error;
				}
			}

			if (last instanceof Refusal) {
				throw last;
			}

			throw new Refusal(last ? 'no-upstream' : 'deadline', 'no engine granted a slot in time', 'no', comeBackMs);
		},
		async stop() {
			clearInterval(renewing);
		},
	};
}
