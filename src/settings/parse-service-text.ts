import {parseJsonc} from './parse-jsonc.js';
import {serviceSchema} from './service-schema.js';
import {type ServiceSettings} from './service-settings.js';

/** Parses and checks one service file. */
export function parseServiceText(file: string, text: string): ServiceSettings {
	return parseJsonc<ServiceSettings>(file, text, serviceSchema);
}
