import {hashTo48Bits} from '../util/hash-to-48-bits.js';

/** Returns the token at `index` of the completion of `prompt` by an engine stand-in; the same inputs result in the same token. */
export function generateToken(model: string, version: string, prompt: string, index: number): string {
	return `t${index}-${hashTo48Bits(`${model}\n${version}\n${prompt}\n${index}`).toString(36)} `;
}
