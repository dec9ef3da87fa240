import {hashTo48Bits} from '../util/hash-to-48-bits.js';

/** Gives the token that a stand-in engine puts at place `index` of the answer to `prompt`. */
export function generateToken(model: string, version: string, prompt: string, index: number): string {
	return `t${index}-${hashTo48Bits(`${model}\n${version}\n${prompt}\n${index}`).toString(36)} `;
}
