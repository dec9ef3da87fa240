import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xorshift128plus} from 'pure-rand/generator/xorshift128plus';

/** Creates a generator of numbers from 0 to 1 that gives the same series for the same seed. */
export function createSeededRandom(seed: number): () => number {
	const generator = xorshift128plus(seed);
	return () => uniformFloat64(generator);
}
