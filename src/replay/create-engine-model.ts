import {type createVirtualClock} from './create-virtual-clock.js';
import {createPrefixCache} from './create-prefix-cache.js';
import {type Deployment} from './deployment.js';

/** One run at an engine. */
type EngineRun = {
	readonly keys: readonly string[];
	readonly pieceTokens: number;
	readonly tailTokens: number;
	readonly outputTokens: number;
	readonly onFirstToken: (recomputedTokens: number) => void;
	readonly onEnd: () => void;
	readonly onAborted: () => void;
};

/** Model of an engine: serial prefill, batched decoding, a limited cache of pieces. */
type EngineModel = {
	readonly run: (run: EngineRun) => void;
	readonly cache: ReturnType<typeof createPrefixCache>;
	readonly setAvailable: (isUp: boolean) => void;
	readonly isUp: () => boolean;
	/** Requests at the engine as last reported, with a lag. */
	readonly reportedRequests: () => number;
	readonly busyMs: () => number;
};

const reportIntervalMs = 1000;

/** Creates the model of one engine. */
export function createEngineModel(clock: ReturnType<typeof createVirtualClock>, service: Deployment['services'][number]): EngineModel {
	const cache = createPrefixCache(service.cachePieces);
	const running = new Set<EngineRun>();
	let prefillFreeAt = 0;
	let busyMs = 0;
	let isUp = true;
	let report = {at: -reportIntervalMs, count: 0};

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
