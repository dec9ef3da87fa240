import {applyQuote} from '../../src/decide/claims/apply-quote.js';
import {createClaimLedger} from '../../src/decide/claims/create-claim-ledger.js';
import {createQuoteMemory} from '../../src/decide/claims/create-quote-memory.js';
import {decideAfterClaim} from '../../src/decide/claims/decide-after-claim.js';
import {type LoadQuote} from '../../src/decide/claims/load-quote.js';
import {computeRankMs} from '../../src/decide/forwarding/compute-rank-ms.js';
import {createUnreportedWorkEstimator} from '../../src/decide/forwarding/create-unreported-work-estimator.js';
import {predictFirstByte} from '../../src/decide/forwarding/predict-first-byte.js';
import {rankCandidates} from '../../src/decide/forwarding/rank-candidates.js';
import {type UpstreamCandidate} from '../../src/decide/forwarding/upstream-candidate.js';
import {type UpstreamView} from '../../src/decide/forwarding/upstream-view.js';
import {createSeededRandom} from '../../src/util/create-seeded-random.js';

/** A replayed crest of demand. Times are in milliseconds. */
type ClaimReplay = {
	readonly usesClaims: boolean;
	readonly seed: number;
	/** Share of claims without an answer. */
	readonly lostShare?: number;
};

/** Time to the first byte of all requests, prompt tokens read by an upstream for each request, and claims for each request. */
type ClaimReplayResult = {
	readonly meanMs: number;
	readonly p90Ms: number;
	readonly p99Ms: number;
	readonly readTokens: number;
	readonly claims: number;
};

type Job = {
	readonly host: number;
	readonly number: number;
	readonly priority: number;
	readonly placedAt: number;
	/** Tokens that the host expected the upstream to read. */
	readonly expectedTokens: number;
	left: number;
	firstByteAt: number | undefined;
};

type Load = {readonly inFlight: number; readonly waiting: readonly number[]};

type Quoted = {
	readonly upstream: number;
	readonly number: number;
	readonly quote: LoadQuote;
	readonly rankMs: number;
};

const hosts = 27;
const upstreams = 40;
const durationMs = 26_000;
const periodMs = 13_000;
const swing = 0.55;
const reportAgeMs = 450;
const tokensPerMs = 90;
const decodeMs = 150;
const answerMs = 15;
const roundTripMs = 3;
const noticeMs = 10;
const contexts = 80;
/** Number of contexts of which an upstream keeps the KV cache. */
const keptContexts = 6;
const kinds = [
	{
		perS: 200, sharedTokens: 9000, ownTokens: 3000, priority: 1,
	},
	{
		perS: 560, sharedTokens: 0, ownTokens: 1500, priority: 0,
	},
] as const;
const parameters = {
	prefillTokensPerMs: tokensPerMs, baseMs: 20, perRequestMs: 3, crossDomainMs: 3, residenceMs: 200,
} as const;

/** Replays waves of long and short prompts at hosts that see each other's loads in reports of 450 ms, with the gateway's decisions and simplified upstreams. */
export function replayClaims({usesClaims, seed, lostShare = 0}: ClaimReplay): ClaimReplayResult {
	const random = createSeededRandom(seed);
	const queues: Job[][] = Array.from({length: upstreams}, () => []);
	const kept: number[][] = Array.from({length: upstreams}, () => []);
	const ledgers = Array.from({length: upstreams}, () => createClaimLedger());
	const memories = Array.from({length: hosts}, () => createQuoteMemory());
	const estimators = Array.from({length: hosts}, () => createUnreportedWorkEstimator());
	/** Loads of all hosts by time; the load of a host itself is known at once. */
	const history: Load[][][] = [];
	const due = new Map<number, Array<() => void>>();
	const waits: number[] = [];
	let readTokens = 0;
	let claims = 0;
	let nextNumber = 0;
	let now = 0;

	const at = (time: number, run: () => void): void => {
		due.set(time, [...due.get(time) ?? [], run]);
	};

	const toLoad = (jobs: readonly Job[]): Load => {
		const waiting = [0, 0];
		for (const job of jobs) {
			waiting[job.priority]! += job.firstByteAt === undefined ? job.expectedTokens : 0;
		}

		return {inFlight: jobs.length, waiting};
	};

	const toView = (host: number, upstream: number, priority: number): UpstreamView => {
		const reported = history[0]![upstream]!;
		const loads = [...reported.filter((_, other) => other !== host), toLoad(queues[upstream]!.filter(job => job.host === host))];
		const ahead = loads.reduce((sum, {waiting}) => sum + waiting[0]! + (waiting[1]! * (priority === 1 ? 1 : 0.25)), 0);
		return {
			upstream: {
				id: String(upstream), service: 's', address: '', domain: 'd', slots: 32, isLeaving: false, startedAt: undefined, softwareVersion: '', weights: new Map(),
			},
			inFlight: loads.reduce((sum, {inFlight}) => sum + inFlight, 0), waitingTokens: ahead, isQueueing: ahead > 0, heldTokens: 0,
			isUnresponsive: false, isReachable: true, isEjected: false, failureShare: 0, freeConnections: 100, requestsPerS: undefined, closedForMs: 0,
		};
	};

	const arrive = (kind: typeof kinds[number]): void => {
		const arrivedAt = now;
		const host = Math.floor(random() * hosts);
		const context = Math.floor(random() * contexts);
		const home = context % upstreams;
		const {priority} = kind;
		const expectTokens = (upstream: number): number => kind.ownTokens + (upstream === home ? 0 : kind.sharedTokens);
		const predict = (view: UpstreamView, tokens: number): number =>
			predictFirstByte(view, {promptReadyMs: tokens / tokensPerMs, heldTokens: 0, kvCapacityTokens: undefined}, parameters, 'd');
		const unseenMs = estimators[host]!.estimatePerUpstreamMs({otherHosts: hosts - 1, reportAgeMs, upstreams}, now);

		const send = (upstream: number, number: number): void => {
			const isKept = kind.sharedTokens === 0 || kept[upstream]!.includes(context);
			const tokens = kind.ownTokens + (isKept ? 0 : kind.sharedTokens);
			if (kind.sharedTokens > 0) {
				kept[upstream] = [...kept[upstream]!.filter(other => other !== context), context].slice(-keptContexts);
			}

			estimators[host]!.record(parameters.perRequestMs + (expectTokens(upstream) / tokensPerMs), now);
			readTokens += tokens;
			queues[upstream]!.push({
				host, number, priority, placedAt: arrivedAt, expectedTokens: expectTokens(upstream), left: tokens, firstByteAt: undefined,
			});
		};

		const rank = (isClaimed: boolean): readonly UpstreamCandidate[] => {
			const candidates = queues.map((_, upstream) => {
				const reported = toView(host, upstream, priority);
				const view = isClaimed ? memories[host]!.apply(reported, priority, now) : reported;
				return {view, firstByteMs: predict(view, 0), staleWeightsPenaltyMs: 0};
			});
			return rankCandidates(candidates, {
				random, unseenMs, isClaimed, context: {
					mayHold: ({view}) => kind.sharedTokens > 0 && Number(view.upstream.id) === home,
					predictWithKvCache: candidate => ({...candidate, firstByteMs: predict(candidate.view, expectTokens(Number(candidate.view.upstream.id)))}),
				},
			});
		};

		const claim = (upstream: number) => ({
			upstreamId: String(upstream), priority, prefillTokens: expectTokens(upstream), heldTokens: 0,
		});
		const placeByReports = (): void => {
			const upstream = Number(rank(false)[0]!.view.upstream.id);
			const number = nextNumber++;
			if (usesClaims) {
				ledgers[upstream]!.claim(String(host), number, claim(upstream), now);
			}

			send(upstream, number);
		};

		const tryNext = ([candidate, ...rest]: readonly UpstreamCandidate[], quoted: readonly Quoted[]): void => {
			const upstream = Number(candidate!.view.upstream.id);
			const number = nextNumber++;
			claims++;
			const finish = (all: readonly Quoted[]): void => {
				const best = all.toSorted((a, b) => a.rankMs - b.rankMs)[0];
				for (const each of all) {
					memories[host]!.record(String(each.upstream), priority, each.quote, now);
				}

				for (const other of all.filter(each => each !== best)) {
					at(now + noticeMs, () => {
						ledgers[other.upstream]!.end(String(host), other.number);
					});
				}

				if (best) {
					send(best.upstream, best.number);
				} else {
					placeByReports();
				}
			};

			if (random() < lostShare) {
				at(now + answerMs, () => {
					finish(quoted);
				});
				return;
			}

			at(now + 1, () => {
				const quote = ledgers[upstream]!.claim(String(host), number, claim(upstream), now);
				at(now + roundTripMs - 1, () => {
					const view = applyQuote(candidate!.view, quote);
					const all = [...quoted, {
						upstream, number, quote, rankMs: computeRankMs({...candidate!, view, firstByteMs: predict(view, expectTokens(upstream))}),
					}];
					if (decideAfterClaim({quotedMs: all.map(({rankMs}) => rankMs), nextMs: rest[0] && computeRankMs(rest[0])}) === 'try-next') {
						tryNext(rest, all);
					} else {
						finish(all);
					}
				});
			});
		};

		if (usesClaims) {
			tryNext(rank(true), []);
		} else {
			placeByReports();
		}
	};

	const prefill = (jobs: Job[], upstream: number): void => {
		let budget = tokensPerMs;
		for (const job of jobs.filter(({firstByteAt}) => firstByteAt === undefined).toSorted((a, b) => a.priority - b.priority || a.placedAt - b.placedAt)) {
			const read = Math.min(budget, job.left);
			job.left -= read;
			budget -= read;
			if (job.left === 0) {
				job.firstByteAt = now;
				waits.push(now - job.placedAt);
				at(now + noticeMs, () => {
					ledgers[upstream]!.recordAnswered(String(job.host), job.number);
				});
				at(now + decodeMs + noticeMs, () => {
					ledgers[upstream]!.end(String(job.host), job.number);
				});
			}
		}

		queues[upstream] = jobs.filter(({firstByteAt}) => firstByteAt === undefined || now - firstByteAt < decodeMs);
	};

	const reportEveryMs = 50;
	for (now = 0; now < durationMs; now++) {
		if (now % reportEveryMs === 0) {
			history.push(queues.map(jobs => Array.from({length: hosts}, (_, host) => toLoad(jobs.filter(job => job.host === host)))));
			if (history.length > reportAgeMs / reportEveryMs) {
				history.shift();
			}
		}

		for (const run of due.get(now) ?? []) {
			run();
		}

		due.delete(now);
		const factor = 1 - (swing * Math.cos(now / periodMs * 2 * Math.PI));
		for (const kind of kinds) {
			if (random() < kind.perS * factor / 1000) {
				arrive(kind);
			}
		}

		for (const [upstream, jobs] of queues.entries()) {
			if (jobs.length > 0) {
				prefill(jobs, upstream);
			}
		}
	}

	const sorted = waits.toSorted((a, b) => a - b);
	return {
		meanMs: sorted.reduce((sum, ms) => sum + ms, 0) / sorted.length,
		p90Ms: sorted[Math.floor(sorted.length * 0.9)]!,
		p99Ms: sorted[Math.floor(sorted.length * 0.99)]!,
		readTokens: readTokens / sorted.length,
		claims: claims / sorted.length,
	};
}
