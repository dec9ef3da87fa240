import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xorshift128plus} from 'pure-rand/generator/xorshift128plus';

/** Creates a generator of pseudo-random numbers in [0, 1) that yields the same sequence for the same seed. */
export function createSeededRandom(seed: number): () => number {
	const generator = xorshift128plus(seed);
	return () => uniformFloat64(generator);
}
