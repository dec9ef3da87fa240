/** Waits for work that does not fail; returns earlier when `signal` is aborted, and leaves the work to itself. */
export async function waitUnlessAborted(work: Promise<void>, signal: AbortSignal): Promise<void> {
	const settled = new AbortController();
	const aborted = new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true, signal: settled.signal});
	});
	await Promise.race([work, aborted]);
	settled.abort();
}
