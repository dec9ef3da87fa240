/** Wraps `compute` so that it runs at most once within `intervalMs`; calls in between return the last result. */
export function refreshEvery<R>(intervalMs: number, now: () => number, compute: () => R): () => R {
	let last: {readonly at: number; readonly result: R} | undefined;
	return () => {
		if (!last || now() - last.at >= intervalMs) {
			last = {at: now(), result: compute()};
		}

		return last.result;
	};
}
