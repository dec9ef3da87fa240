import {readFileSync} from 'node:fs';
import {type z} from 'zod';
import {SettingsError} from '../errors/settings-error.js';
import {parseJsonc} from './parse-jsonc.js';

/**
Reads a settings file and validates it against a schema.

@throws {SettingsError} When the file can't be read or is invalid.
*/
export function readSettingsFile<T>(file: string, schema: z.ZodType<T>): T {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch {
		throw new SettingsError([{
			file, line: 1, path: '(root)', message: 'cannot be read',
		}]);
	}

	return parseJsonc(file, text, schema);
}
