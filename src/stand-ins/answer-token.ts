import {hashNumber} from '../util/hash-number.js';

/** Gives the token that a stand-in engine puts at place `index` of the answer to `prompt`. */
export function answerToken(model: string, version: string, prompt: string, index: number): string {
	return `t${index}-${hashNumber(`${model}\n${version}\n${prompt}\n${index}`).toString(36)} `;
}
