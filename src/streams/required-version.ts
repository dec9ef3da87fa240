/** What a stream that a caller takes up needs: the only version that is known, where there is one; the one that began it; or one that is not known. */
export type RequiredVersion
	= | {readonly kind: 'any'; readonly version: string | undefined}
		| {readonly kind: 'one'; readonly version: string}
		/** With a time in which it may become known, in milliseconds. */
		| {readonly kind: 'unknown'; readonly retryAfterMs?: number};
