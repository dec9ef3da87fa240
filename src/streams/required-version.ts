/** What a stream that a caller takes up needs: any version, the one that began it, or one that is not known. */
export type RequiredVersion
	= | {readonly kind: 'any'}
		| {readonly kind: 'one'; readonly version: string}
		| {readonly kind: 'unknown'};
