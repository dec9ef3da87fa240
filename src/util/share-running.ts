/** Wraps `run` so that calls with the same first argument share one run while it lasts. */
export function shareRunning<A extends readonly unknown[], R>(run: (key: string, ...rest: A) => Promise<R>): (key: string, ...rest: A) => Promise<R> {
	const running = new Map<string, Promise<R>>();
	return async (key, ...rest) => {
		const current = running.get(key) ?? run(key, ...rest).finally(() => {
			running.delete(key);
		});
		running.set(key, current);
		return current;
	};
}
