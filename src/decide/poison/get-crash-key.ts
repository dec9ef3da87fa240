import {type CrashReport} from '../../poison/crash-report.js';

/** Returns the text by which reports of one request at one crash are recognized. */
export function getCrashKey([digest, upstream, startedAt]: CrashReport): string {
	return [digest, upstream, startedAt].join('\n');
}
