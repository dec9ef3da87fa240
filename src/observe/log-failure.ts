import {isProgramError} from '../errors/is-program-error.js';
import {log} from './log.js';
import {programErrorsTotal} from './program-errors-total.js';

/** Inputs of the call or step that failed. */
type FailureContext = Readonly<Record<string, string | number | boolean | undefined>>;

/**
Logs why a call or a step of a task failed, and what comes of it. An error of the program itself is logged with its stack, at the level of
errors, and counted: it must not pass for a dependency that does not respond.

@param failed - What has failed, as the line's message and the metric's label.
*/
export function logFailure(error: unknown, context: FailureContext, failed: string, level: 'info' | 'warn' = 'warn'): void {
	if (isProgramError(error)) {
		programErrorsTotal.inc({failed});
		log.error({...context, error: String((error as Error).stack ?? error), isProgramError: true}, failed);
		return;
	}

	log[level]({...context, error: String(error)}, failed);
}
