import {parseJsonc} from './parse-jsonc.js';
import {serviceSchema} from './service-schema.js';
import {type Service} from './service.js';

/** Parses and checks one service file. */
export function parseServiceText(file: string, text: string): Service {
	return parseJsonc<Service>(file, text, serviceSchema);
}
