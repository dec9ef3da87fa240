import {hostSettingsSchema} from './host-settings-schema.js';
import {type HostSettings} from './host-settings.js';
import {readSettingsFile} from './read-settings-file.js';

/**
Reads a host's settings file.

@throws {SettingsError} When the file can't be read or is invalid.
*/
export function readHostSettings(file: string): HostSettings {
	return readSettingsFile<HostSettings>(file, hostSettingsSchema);
}
