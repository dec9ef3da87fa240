import {parseJsonc} from './parse-jsonc.js';
import {serviceSchema} from './service-schema.js';
import {type ServiceSettings} from './service-settings.js';

/**
Parses and validates the text of a service file.

@throws {SettingsError} With the file, line and path of each issue.
*/
export function parseServiceText(file: string, text: string): ServiceSettings {
	return parseJsonc<ServiceSettings>(file, text, serviceSchema);
}
