import process from 'node:process';

/** Errors that no task has caught; each would end the process of a host. */
type UncaughtErrors = {
	readonly errors: readonly unknown[];
	readonly stop: () => void;
};

/** Starts to record the errors and rejections of this process that nothing catches. */
export function recordUncaughtErrors(): UncaughtErrors {
	const errors: unknown[] = [];
	const record = (error: unknown): void => {
		errors.push(error);
	};

	process.on('uncaughtException', record);
	process.on('unhandledRejection', record);
	return {
		errors,
		stop() {
			process.off('uncaughtException', record);
			process.off('unhandledRejection', record);
		},
	};
}
