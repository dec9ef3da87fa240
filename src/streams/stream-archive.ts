/** What lies in the platform's store of streams, so that it outlives all hosts. */
export type StreamArchive = {
	/** Adds a stream that this host has begun; written with others soon. */
	readonly add: (id: string, service: string, version: string) => void;
	/** Resolves once the store has been read since this host's start, at the latest after a time in milliseconds; returns whether it has. */
	readonly waitUntilRead: (timeoutMs: number) => Promise<boolean>;
	/** Reads the version that began a stream; `undefined` where the store does not tell. */
	readonly lookUp: (id: string) => Promise<string | undefined>;
	/** Returns whether the store has been read a moment ago, so that a stream that was not found is not there. */
	readonly hasJustRead: () => boolean;
	/** Returns for how long, in milliseconds, streams may be unknown that began at versions which the store has lost; 0 if there are none. */
	readonly doubtMs: () => number;
	/** Returns whether a service had one version when this host started; not so where none is known. */
	readonly isFromBefore: (service: string) => boolean;
	/** Returns the version of a service that has served the longest; `undefined` where it has ended, or the store may have lost another one. */
	readonly findOldest: (service: string) => string | undefined;
	/** Returns the version of a service that has served the longest of those that still do. */
	readonly findOldestListed: (service: string) => string | undefined;
	/** Records which versions of each service are listed now. */
	readonly recordListed: (listed: ReadonlyMap<string, ReadonlySet<string>>) => void;
	/** Returns whether some stream is not in the store yet. */
	readonly hasUnwritten: () => boolean;
	/** Writes without pauses what is not in the store yet; resolves once it is there, at the latest after a time in milliseconds. */
	readonly flush: (timeoutMs: number) => Promise<void>;
	readonly stop: () => void;
};
