/** Creates a function that runs `run` at its first call; each call returns that run's promise. */
export function once(run: () => Promise<void>): () => Promise<void> {
	let running: Promise<void> | undefined;
	return async () => {
		running ??= run();
		await running;
	};
}
