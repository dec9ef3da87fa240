import {type createVirtualClock} from './create-virtual-clock.js';
import {createPrefixCache} from './create-prefix-cache.js';
import {type Deployment} from './deployment.js';

/** One attempt of a request on an engine, with callbacks for its progress. */
type EngineRun = {
	/** Keys of the prompt's whole pieces, in order. */
	readonly keys: readonly string[];
	readonly pieceTokens: number;
	/** Tokens after the last whole piece; always recomputed. */
	readonly tailTokens: number;
	readonly outputTokens: number;
	readonly onFirstToken: (recomputedTokens: number) => void;
	readonly onEnd: () => void;
	readonly onAborted: () => void;
};

/** Simulated engine with serial prefill, batched decoding and a prefix cache of limited size. */
type EngineModel = {
	readonly run: (run: EngineRun) => void;
	readonly cache: ReturnType<typeof createPrefixCache>;
	/** Brings the engine up or down. Going down aborts all its requests and clears the cache. */
	readonly setAvailable: (isUp: boolean) => void;
	readonly isUp: () => boolean;
	/** Number of running requests as of the last report, which is up to `reportIntervalMs` old. */
	readonly reportedRequests: () => number;
	/** Total prefill time so far, in milliseconds. */
	readonly busyMs: () => number;
};

const reportIntervalMs = 1000;

/** Creates a simulated engine of a service. */
export function createEngineModel(clock: ReturnType<typeof createVirtualClock>, service: Deployment['services'][number]): EngineModel {
	const cache = createPrefixCache(service.cachePieces);
	const running = new Set<EngineRun>();
	let prefillFreeAt = 0;
	let busyMs = 0;
	let isUp = true;
	let report = {at: -reportIntervalMs, count: 0};

	/** Returns the decoding time at the current batch size, which is taken as constant until the end of the request. */
	const computeDecodeMs = (tokens: number): number => tokens * (service.stepMs + (service.stepAddedMs * (running.size - 1)));

	return {
		cache,
		isUp: () => isUp,
		busyMs: () => busyMs,
		reportedRequests() {
			if (clock.now() - report.at >= reportIntervalMs) {
				report = {at: clock.now(), count: running.size};
			}

			return report.count;
		},
		setAvailable(available) {
			isUp = available;
			if (!isUp) {
				const abortedRuns = [...running];
				running.clear();
				cache.clear();
				prefillFreeAt = clock.now();
				for (const run of abortedRuns) {
					run.onAborted();
				}
			}
		},
		run(run) {
			if (!isUp) {
				run.onAborted();
				return;
			}

			running.add(run);
			const recomputedTokens = ((run.keys.length - cache.countCachedPrefix(run.keys)) * run.pieceTokens) + run.tailTokens;
			const prefillMs = recomputedTokens / service.prefillTokensPerS * 1000;
			prefillFreeAt = Math.max(prefillFreeAt, clock.now()) + prefillMs;
			busyMs += prefillMs;
			for (const key of run.keys) {
				cache.touch(key);
			}

			clock.at(prefillFreeAt, () => {
				if (!running.has(run)) {
					return;
				}

				run.onFirstToken(recomputedTokens);
				clock.at(clock.now() + computeDecodeMs(run.outputTokens), () => {
					if (running.delete(run)) {
						run.onEnd();
					}
				});
			});
		},
	};
}
