import {readFileSync} from 'node:fs';
import {SettingsError} from '../errors/settings-error.js';
import {hostSettingsSchema} from './host-settings-schema.js';
import {type HostSettings} from './host-settings.js';
import {parseJsonc} from './parse-jsonc.js';

/**
Reads a host's settings file.

@throws {SettingsError} When it can't be read or does not pass its checks.
*/
export function readHostSettings(file: string): HostSettings {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch {
		throw new SettingsError([{
			file, line: 1, path: '(root)', message: 'cannot be read',
		}]);
	}

	return parseJsonc<HostSettings>(file, text, hostSettingsSchema);
}
