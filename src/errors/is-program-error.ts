/** Code of the HTTP library's error for an argument that it refuses. */
const invalidArgumentCode = 'UND_ERR_INVALID_ARG';

/** Whether an error shows a fault of this program, or data that it does not expect, rather than a dependency that does not respond. */
export function isProgramError(error: unknown): boolean {
	return error instanceof TypeError || error instanceof RangeError || error instanceof ReferenceError
		|| (error as {readonly code?: unknown} | undefined)?.code === invalidArgumentCode;
}
