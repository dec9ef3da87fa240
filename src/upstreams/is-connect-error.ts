const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Returns whether an error proves that no connection was made, so that no part of the request was sent. */
export function isConnectError(error: unknown): boolean {
	const {code, cause} = error as {readonly code?: string; readonly cause?: {readonly code?: string}};
	return connectErrorCodes.has(code ?? '') || connectErrorCodes.has(cause?.code ?? '');
}
