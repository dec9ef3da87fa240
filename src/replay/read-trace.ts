import {readFileSync} from 'node:fs';
import {SettingsError} from '../errors/settings-error.js';
import {type TraceEvent} from './trace-event.js';
import {traceSchema} from './trace-schema.js';

/**
Reads a trace file of JSON lines, of which the first is the deployment.

@throws {SettingsError} With file and line, for a malformed line or a missing deployment.
*/
export function readTrace(file: string): readonly TraceEvent[] {
	const lines = readFileSync(file, 'utf8').split('\n').filter(line => line !== '');
	const events = lines.map((line, index): TraceEvent => {
		try {
			return traceSchema.parse(JSON.parse(line));
		} catch (error) {
			throw new SettingsError([{
				file, line: index + 1, path: '(line)', message: String((error as Error).message).slice(0, 300),
			}]);
		}
	});
	if (events[0]?.kind !== 'deployment') {
		throw new SettingsError([{
			file, line: 1, path: 'kind', message: 'the first line of a trace must be its deployment',
		}]);
	}

	return events;
}
