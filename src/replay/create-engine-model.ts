import {type createClock} from './create-clock.js';
import {createPieceCache} from './create-piece-cache.js';
import {type Deployment} from './deployment.js';

/** One run at an engine. */
type EngineRun = {
	readonly keys: readonly string[];
	readonly pieceTokens: number;
	readonly tailTokens: number;
	readonly outputTokens: number;
	readonly onFirstToken: (recomputedTokens: number) => void;
	readonly onEnd: () => void;
	readonly onBroken: () => void;
};

/** Model of an engine: serial prefill, batched decoding, a limited cache of pieces. */
type EngineModel = {
	readonly run: (run: EngineRun) => void;
	readonly cache: ReturnType<typeof createPieceCache>;
	readonly setUp: (isUp: boolean) => void;
	readonly isUp: () => boolean;
	/** Requests at the engine as last reported, with a lag. */
	readonly reported: () => number;
	readonly busyMs: () => number;
};

const reportMs = 1000;

/** Creates the model of one engine. */
export function createEngineModel(clock: ReturnType<typeof createClock>, service: Deployment['services'][number]): EngineModel {
	const cache = createPieceCache(service.cachePieces);
	const running = new Set<EngineRun>();
	let prefillFreeAt = 0;
	let busyMs = 0;
	let isUp = true;
	let report = {at: -reportMs, count: 0};

	const decodeMs = (tokens: number): number => tokens * (service.stepMs + (service.stepAddedMs * (running.size - 1)));

	return {
		cache,
		isUp: () => isUp,
		busyMs: () => busyMs,
		reported() {
			if (clock.now() - report.at >= reportMs) {
				report = {at: clock.now(), count: running.size};
			}

			return report.count;
		},
		setUp(now) {
			isUp = now;
			if (!isUp) {
				const broken = [...running];
				running.clear();
				cache.clear();
				prefillFreeAt = clock.now();
				for (const run of broken) {
					run.onBroken();
				}
			}
		},
		run(run) {
			if (!isUp) {
				run.onBroken();
				return;
			}

			running.add(run);
			const recomputed = ((run.keys.length - cache.prefix(run.keys)) * run.pieceTokens) + run.tailTokens;
			const prefillMs = recomputed / service.prefillTokensPerS * 1000;
			prefillFreeAt = Math.max(prefillFreeAt, clock.now()) + prefillMs;
			busyMs += prefillMs;
			for (const key of run.keys) {
				cache.use(key);
			}

			clock.at(prefillFreeAt, () => {
				if (!running.has(run)) {
					return;
				}

				run.onFirstToken(recomputed);
				clock.at(clock.now() + decodeMs(run.outputTokens), () => {
					if (running.delete(run)) {
						run.onEnd();
					}
				});
			});
		},
	};
}
