import {computeSha256} from '../../util/compute-sha256.js';
import {type PrefixScope} from './prefix-scope.js';
import {type PromptPiece} from './prompt-piece.js';

const charactersPerToken = 4;
const keyLength = 32;

/**
Splits a prompt into pieces, each with a key that hashes the previous piece's key and its own text; the first piece's hash starts from
the scope. Pieces of another workspace or weight version therefore have other keys and are never found.
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
