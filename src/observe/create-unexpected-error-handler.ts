import {log} from './log.js';

/** A host with more errors than this within `windowMs` stops. */
const maxErrors = 20;
const windowMs = 10_000;

/** Options of `createUnexpectedErrorHandler`. */
type UnexpectedErrorHandlerOptions = {
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
	/** Called once, when there are too many errors for the host's state to be trusted. */
	readonly stop: () => void;
};

/**
Creates the handler of errors that no task has caught. One costs only what the failed callback was to do: requests under way go on, and
the next message or tick begins anew. A host that keeps failing stops.
*/
export function createUnexpectedErrorHandler({now, stop}: UnexpectedErrorHandlerOptions): (error: unknown) => void {
	let times: readonly number[] = [];
	let isStopping = false;
	return error => {
		times = [...times.filter(at => now() - at < windowMs), now()].slice(-maxErrors - 1);
		log.error({error: String((error as Error | undefined)?.stack ?? error), recent: times.length}, 'unexpected error, running on');
		if (times.length > maxErrors && !isStopping) {
			isStopping = true;
			log.fatal({recent: times.length, windowMs}, 'too many unexpected errors, stopping the host');
			stop();
		}
	};
}
