/** A stream that has begun. */
type StreamRecord = {
	readonly service: string;
	readonly version: string;
	readonly at: number;
};

/** Which software version began each stream. Times are in milliseconds. */
type StreamIndex = {
	/** Adds a stream, or replaces what was known of it. */
	readonly add: (id: string, service: string, version: string, now: number) => void;
	readonly lookUp: (id: string, now: number) => StreamRecord | undefined;
	readonly size: () => number;
};

/** Creates the index, bounded in time and number; the oldest records go first. */
export function createStreamIndex(retentionMs: number, maxStreams: number): StreamIndex {
	const records = new Map<string, StreamRecord>();

	const isExpired = ({at}: StreamRecord, now: number): boolean => now - at > retentionMs;

	const removeOldest = (now: number): void => {
		for (const [id, record] of records) {
			if (records.size <= maxStreams && !isExpired(record, now)) {
				return;
			}

			records.delete(id);
		}
	};

	return {
		add(id, service, version, now) {
			records.delete(id);
			records.set(id, {service, version, at: now});
			removeOldest(now);
		},
		lookUp(id, now) {
			const record = records.get(id);
			return record && !isExpired(record, now) ? record : undefined;
		},
		size: () => records.size,
	};
}
