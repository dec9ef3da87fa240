import {toDelayMs} from '../util/to-delay-ms.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type AttemptSignal} from './attempt-signal.js';

/** Creates the signal that ends an attempt once time is over, the caller has disconnected or this host stops. */
export function createAttemptSignal({route, signal, stop}: Pick<AdmittedRequest, 'route' | 'signal' | 'stop'>, leftMs: number): AttemptSignal {
	const controller = new AbortController();
	const abort = (reason: string): void => {
		controller.abort(new Error(reason));
	};

	const onCallerGone = (): void => {
		abort('the caller disconnected');
	};

	// A request that may not be repeated runs to its end after its caller has disconnected, so that its outcome is definite.
	if (route.kind !== 'once') {
		signal.addEventListener('abort', onCallerGone, {once: true});
	}

	const onStop = (): void => {
		abort('this host stops');
	};

	stop.signal.addEventListener('abort', onStop, {once: true});
	if (stop.signal.aborted) {
		onStop();
	}

	const timer = setTimeout(abort, toDelayMs(leftMs), 'time is over');
	return {
		signal: controller.signal,
		abort,
		dispose() {
			clearTimeout(timer);
			signal.removeEventListener('abort', onCallerGone);
			stop.signal.removeEventListener('abort', onStop);
		},
	};
}
