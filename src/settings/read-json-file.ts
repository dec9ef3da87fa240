import {readFileSync} from 'node:fs';
import {
	getLocation, getNodeValue, parseTree, printParseErrorCode, type ParseError,
} from 'jsonc-parser';
import {SettingsError} from '../errors/settings-error.js';
import {findLine} from './find-line.js';
import {findNode} from './find-node.js';
import {formatPath} from './format-path.js';

/** The value of a JSON file and where its parts stand. */
export type JsonFile = {
	readonly value: unknown;
	/** Returns the line of the value at a path, or of its deepest existing ancestor. */
	readonly lineOf: (path: readonly PropertyKey[]) => number;
};

/**
Reads a file of JSON without comments, as stores and other programs accept it.

@throws {SettingsError} When the file can't be read or is no JSON.
*/
export function readJsonFile(file: string): JsonFile {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch {
		throw new SettingsError([{
			file, line: 1, path: '(root)', message: 'cannot be read',
		}]);
	}

	const errors: ParseError[] = [];
	const root = parseTree(text, errors, {disallowComments: true, allowTrailingComma: false});
	if (!root || errors.length > 0) {
		throw new SettingsError(errors.map(({error, offset}) => ({
			file, line: findLine(text, offset), path: formatPath(getLocation(text, offset).path), message: printParseErrorCode(error),
		})));
	}

	return {value: getNodeValue(root), lineOf: path => findLine(text, findNode(root, path)?.offset ?? 0)};
}
