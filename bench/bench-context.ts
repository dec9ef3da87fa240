import {createPieceIndex} from '../src/context/create-piece-index.js';
import {type PieceIndex} from '../src/context/piece-index.js';
import {splitPrompt} from '../src/decide/context/split-prompt.js';
import {rankEngines} from '../src/decide/routing/rank-engines.js';
import {createSeededRandom} from '../src/util/create-seeded-random.js';
import {computeSha256} from '../src/util/compute-sha256.js';
import {measureCpu} from './measure-cpu.js';
import {measureHeap} from './measure-heap.js';
import {printLinearFit} from './print-linear-fit.js';

const keyLength = 32;
const pieceCharacters = 4000;
const scope = {
	workspace: 'w', service: 's', model: 'm', adapter: '', version: 'v1',
};

const createKey = (index: number): string => computeSha256(String(index)).slice(0, keyLength);

function createFilledIndex(count: number): PieceIndex {
	const pieceIndex = createPieceIndex(() => 0, createSeededRandom(1));
	for (let index = 0; index < count; index++) {
		const key = createKey(index);
		pieceIndex.add({
			service: 's', label: key, key, workspace: `workspace-${index % 100}`, tokens: 1000, depth: 3, engine: `engine-${index % 80}`,
			stored: {
				key, store: 'store-1', block: index, generation: 1, checksum: computeSha256(key), bytes: 64e6,
			},
		}, index);
	}

	return pieceIndex;
}

/** Measures the piece index, prompt splitting and the ranking of engines. */
export function benchContext(): void {
	const sizes = [10_000, 20_000, 40_000, 80_000];
	printLinearFit('heap of the piece index, by pieces', 'bytes', sizes.map(count => [count, measureHeap(() => createFilledIndex(count)).bytes] as const));
	printLinearFit('look-up of one piece, by pieces in the index', 'us', sizes.map(count => {
		const pieceIndex = createFilledIndex(count);
		const keys = Array.from({length: 1000}, (_, index) => createKey(index * 7 % count));
		return [count, measureCpu(100_000, index => pieceIndex.lookup(keys[index % 1000]!, index)).cpuUs] as const;
	}));
	printLinearFit('freeing 8 pieces, by pieces in the index', 'us', sizes.map(count => {
		const directory = createFilledIndex(count);
		return [count, measureCpu(500, index => directory.takeLeastValuable('store-1', 1e9, 8, count + index)).cpuUs] as const;
	}));
	printLinearFit('splitting a prompt, by pieces', 'us', [1, 5, 10, 40].map(pieces => {
		const prompt = 'x'.repeat(pieces * pieceCharacters);
		return [pieces, measureCpu(1000, () => splitPrompt(scope, prompt, pieceCharacters)).cpuUs] as const;
	}));
	printLinearFit('ranking engines for 10 pieces, by engines', 'us', [13, 70, 140, 271].map(count => {
		const engines = Array.from({length: count}, (_, index) => ({
			name: `e${index}`, domain: 'd', cachedPieces: index % 10, waitMs: index, prefillTokensPerS: 20_000, networkLatencyMs: 1,
		}));
		const stored = Array.from({length: 10}, (_, block) => ({
			key: String(block), store: 's', block, generation: 1, checksum: '', bytes: 64e6,
		}));
		const request = {
			pieceTokens: stored.map(() => 1000), stored, cost: {firstToken: 1, recomputed: 0.1, link: 0.1}, estimateFetchMs: () => 100,
		};
		const random = createSeededRandom(1);
		return [count, measureCpu(2000, () => rankEngines(request, engines, random)).cpuUs] as const;
	}));
}
