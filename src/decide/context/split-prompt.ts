import {computeSha256} from '../../util/compute-sha256.js';
import {type PrefixScope} from './prefix-scope.js';
import {type PromptPiece} from './prompt-piece.js';

const charactersPerToken = 4;
const keyLength = 32;

/**
Splits a prompt into pieces and gives each a key that hashes its parent's key, its text and its scope. Pieces of another
workspace or weight version can't have the same key, so they are never found.
*/
export function splitPrompt(scope: PrefixScope, prompt: string, pieceCharacters: number): readonly PromptPiece[] {
	const {workspace, service, model, adapter, version} = scope;
	let parent = computeSha256(JSON.stringify([workspace, service, model, adapter, version]));
	const pieces: PromptPiece[] = [];
	for (let start = 0; start < prompt.length; start += pieceCharacters) {
		const text = prompt.slice(start, start + pieceCharacters);
		parent = computeSha256(`${parent}\n${text}`);
		pieces.push({
			key: parent.slice(0, keyLength),
			tokens: Math.ceil(text.length / charactersPerToken),
			isWhole: text.length === pieceCharacters,
		});
	}

	return pieces;
}
