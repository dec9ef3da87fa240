import {hashTo48Bits} from '../../src/util/hash-to-48-bits.js';

const minEvents = 3;
const eventSpread = 8;

/** Returns the chunks that upstreams send for a request: the events of a stream, or the whole body of another response. */
export function buildExpectedChunks(id: string, target: string): readonly string[] {
	if (!target.startsWith('/ask/')) {
		return [`answer to ${id} for ${target}`];
	}

	const count = minEvents + (hashTo48Bits(id) % eventSpread);
	return Array.from({length: count}, (_, index) => `id: ${index}\ndata: piece ${index} for ${id}\n\n`);
}
