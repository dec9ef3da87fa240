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

const renewIntervalMs = 3000;
/** Added to a request's remaining time as the timeout of the call, so that the owner's refusal at the deadline still arrives. */
const responseSlackMs = 500;
const directReportTimeoutMs = 300;
const maxDirectRunsPerEngine = 1;
const ownerChangePauseMs = 100;
const maxOwnerChangeTries = 30;
const defaultRetryAfterMs = 1000;
/** Attempts to notify an unresponsive owner that a request has ended, with growing pauses; the grant itself expires after 10 s. */
const maxNotifyTries = 4;
const notifyPauseMs = 150;

/** Options of `createSlotRequesterTask`. */
type SlotRequesterTaskOptions = {
	readonly self: string;
	readonly owners: OwnerResolver;
	readonly call: PeerRpc;
	/** Handles requests for engines that this host owns. */
	readonly localOwner: EngineOwnerTask;
	readonly engineAt: (url: string) => Engine;
	/** Records the waits that owners report, for the choice of engines. */
	readonly waits: EngineWaitEstimator;
	/** Number of engines whose owners are asked at the same time for one request. */
	readonly fanout: number;
};

type Candidate = AcquireOptions['candidates'][number];

/** Starts the task that requests slots from the owners of engines and renews the grants of this host. */
export function createSlotRequesterTask(options: SlotRequesterTaskOptions): SlotRequesterTask {
	const {self, owners, call, localOwner, engineAt, waits, fanout} = options;
	const activeGrants = new Map<string, {readonly grant: ActiveGrant; readonly domain: string}>();
	/** Slot requests that wait for a response; `ownerChangeAbort` aborts the call when the engine has another owner or its owner is suspect. */
	const pendingRequests = new Map<string, {readonly engine: string; readonly domain: string; readonly owner: string; readonly ownerChangeAbort: AbortController}>();
	const directRuns = new Map<string, number>();

	const callOwner = async <M extends PeerMethodName & keyof EngineOwnerTask['handlers']>(
		candidate: Pick<Candidate, 'engine' | 'domain'>,
		method: M,
		params: PeerMethods[M]['params'],
		timing: {readonly timeoutMs?: number; readonly signal?: AbortSignal} = {},
	): Promise<PeerMethods[M]['result']> => {
		const owner = owners.inDomain(candidate.domain, candidate.engine);
		if (!owner) {
			throw new PeerUnreachableError(candidate.domain, method, 'no live host in the domain');
		}

		if (owner.name === self) {
			return localOwner.handlers[method](params);
		}

		return call(owner.peers, method, params, timing);
	};

	/**
	Notifies an owner that a request has ended, and retries when the owner does not respond: the slot stays occupied until
	the owner is notified or the grant expires.
	*/
	const notifyOwner = async <M extends 'grant.withdraw' | 'grant.release'>(
		candidate: Pick<Candidate, 'engine' | 'domain'>,
		method: M,
		params: PeerMethods[M]['params'],
	): Promise<void> => {
		for (let tries = 1; ; tries++) {
			try {
				await callOwner(candidate, method, params);
				return;
			} catch (error) {
				if (tries === maxNotifyTries) {
					log.warn({
						engine: candidate.engine, grant: params.id, method, tries, error: String(error),
					}, 'owner could not be notified that the request ended; its grant will expire');
					return;
				}

				await sleep(notifyPauseMs * tries);
			}
		}
	};

	const registerGrant = (candidate: Candidate, request: SlotRequest, response: SlotResponse): Grant => {
		const {leftMs, keys, prefillTokens, engine, host, alone, resumed, ...item} = request;
		activeGrants.set(request.id, {
			grant: {
				engine, host, alone, item,
			}, domain: candidate.domain,
		});
		return {
			id: request.id,
			engine,
			cachedPieces: response.cachedPieces,
			release(tokens, hasFailed) {
				if (activeGrants.delete(request.id)) {
					void notifyOwner(candidate, 'grant.release', {
						engine, id: request.id, tokens, hasFailed,
					});
				}
			},
		};
	};

	/**
	Uses an engine whose owner is unreachable, after checking the engine's own report. At most `maxDirectRunsPerEngine` such
	runs are active at a time, since no owner limits them.
	@throws {Refusal} When the limit is reached, the engine is leaving or unreachable, or the request must run alone.
	*/
	const acquireDirectly = async (candidate: Candidate, acquireOptions: AcquireOptions): Promise<Grant> => {
		const {engine, url} = candidate;
		const activeRuns = directRuns.get(engine) ?? 0;
		if (activeRuns >= maxDirectRunsPerEngine || acquireOptions.alone) {
			throw new Refusal('no-upstream', `the owner of engine ${engine} is out of reach`, 'no', defaultRetryAfterMs);
		}

		directRuns.set(engine, activeRuns + 1);
		const releaseDirectRun = (): void => {
			directRuns.set(engine, (directRuns.get(engine) ?? 1) - 1);
		};

		try {
			const report = await engineAt(url).report(directReportTimeoutMs);
			if (report.leaving) {
				throw new Refusal('no-upstream', `engine ${engine} is leaving`, 'no', defaultRetryAfterMs);
			}
		} catch (error) {
			releaseDirectRun();
			throw error instanceof Refusal ? error : new Refusal('no-upstream', `engine ${engine} is out of reach`, 'no', defaultRetryAfterMs);
		}

		return {
			id: randomUUID(), engine, cachedPieces: undefined, release: releaseDirectRun,
		};
	};

	/**
	Requests a slot of one engine from its owner. When the owner changes, the request is repeated with the new owner; when it
	is unreachable, the engine is used directly.
	*/
	const requestSlot = async (candidate: Candidate, acquireOptions: AcquireOptions, signal: AbortSignal): Promise<Grant> => {
		const {engine, domain} = candidate;
		for (let tries = 1; ; tries++) {
			const owner = owners.inDomain(domain, engine);
			if (!owner || (owner.state === 'suspect' && owner.name !== self)) {
				return acquireDirectly(candidate, acquireOptions);
			}

			const leftMs = acquireOptions.deadlineAt - Date.now();
			const request: SlotRequest = {
				...acquireOptions.item,
				id: randomUUID(),
				engine,
				host: self,
				leftMs,
				keys: acquireOptions.keys,
				prefillTokens: candidate.prefillTokens,
				alone: acquireOptions.alone,
				resumed: acquireOptions.resumed,
			};
			const ownerChangeAbort = new AbortController();
			pendingRequests.set(request.id, {
				engine, domain, owner: owner.name, ownerChangeAbort,
			});
			const withdraw = (): void => {
				void notifyOwner(candidate, 'grant.withdraw', {engine, id: request.id});
			};

			signal.addEventListener('abort', withdraw, {once: true});
			try {
				const response = await callOwner(candidate, 'grant.ask', request, {
					timeoutMs: leftMs + responseSlackMs,
					signal: AbortSignal.any([ownerChangeAbort.signal, signal]),
				});
				waits.record(engine, response.waitMs, Date.now());
				if (signal.aborted) {
					withdraw();
					throw new Refusal('deadline', 'another engine granted a slot first', 'no');
				}

				return registerGrant(candidate, request, response);
			} catch (error) {
				if (error instanceof Refusal && error.retryAfterMs !== undefined) {
					waits.record(engine, error.retryAfterMs, Date.now());
				}

				const hasOwnerChanged = ownerChangeAbort.signal.aborted || (error instanceof Refusal && error.kind === 'not-ready');
				if (hasOwnerChanged && !signal.aborted && tries < maxOwnerChangeTries && Date.now() < acquireOptions.deadlineAt) {
					await sleep(ownerChangePauseMs);
					continue;
				}

				if (error instanceof PeerUnreachableError && !signal.aborted) {
					return await acquireDirectly(candidate, acquireOptions);
				}

				throw error;
			} finally {
				pendingRequests.delete(request.id);
				signal.removeEventListener('abort', withdraw);
			}
		}
	};

	/** Requests a slot of every candidate; resolves with the first grant, and withdraws or releases the others. */
	const requestFirstSlot = async (candidates: readonly Candidate[], acquireOptions: AcquireOptions): Promise<Grant> => {
		const aborts = candidates.map(() => new AbortController());
		const requests = candidates.map(async (candidate, index) => {
			const grant = await requestSlot(candidate, acquireOptions, AbortSignal.any([aborts[index]!.signal, acquireOptions.signal]));
			return {grant, index};
		});
		const {grant, index: winner} = await Promise.any(requests);
		for (const [index, abort] of aborts.entries()) {
			if (index !== winner) {
				abort.abort();
			}
		}

		for (const request of requests) {
			void request.then(other => {
				if (other.index !== winner) {
					other.grant.release(0, false);
				}
			}, () => undefined);
		}

		return grant;
	};

	const renewGrants = (): void => {
		const byOwner = new Map<string, ActiveGrant[]>();
		for (const {grant, domain} of activeGrants.values()) {
			const owner = owners.inDomain(domain, grant.engine);
			if (owner) {
				byOwner.set(owner.name, [...byOwner.get(owner.name) ?? [], grant]);
			}
		}

		for (const [name, grants] of byOwner) {
			if (name === self) {
				void localOwner.handlers['grant.renew']({host: self, grants});
			} else {
				const {peers} = owners.liveHosts().find(member => member.name === name)!;
				call(peers, 'grant.renew', {host: self, grants}).catch(() => undefined);
			}
		}
	};

	const renewTimer = setInterval(renewGrants, renewIntervalMs);

	return {
		running: () => activeGrants.size,
		onOwnersChange() {
			renewGrants();
			for (const {engine, domain, owner, ownerChangeAbort} of pendingRequests.values()) {
				const currentOwner = owners.inDomain(domain, engine);
				if (currentOwner?.name !== owner || currentOwner.state === 'suspect') {
					ownerChangeAbort.abort();
				}
			}
		},
		async acquire(acquireOptions) {
			let lastError: unknown;
			for (let offset = 0; offset < acquireOptions.candidates.length; offset += fanout) {
				if (Date.now() >= acquireOptions.deadlineAt || acquireOptions.signal.aborted) {
					break;
				}

				try {
					return await requestFirstSlot(acquireOptions.candidates.slice(offset, offset + fanout), acquireOptions);
				} catch (error) {
					lastError = (error as AggregateError).errors?.[0] ?? error;
				}
			}

			if (lastError instanceof Refusal) {
				throw lastError;
			}

			throw new Refusal(lastError ? 'no-upstream' : 'deadline', 'no engine granted a slot in time', 'no', defaultRetryAfterMs);
		},
		async stop() {
			clearInterval(renewTimer);
		},
	};
}
