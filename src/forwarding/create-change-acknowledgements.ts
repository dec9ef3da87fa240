/** A change of stored objects that other hosts receive too. */
type Change = {
	readonly kind: string;
	/** Version of the content of the objects of this kind. */
	readonly contentVersion: number;
};

/** What is known of a change; times are in milliseconds of the monotonic clock. */
type ChangeRecord = {
	/** When the change was first followed or reported here. */
	readonly seenAt: number;
	/** When each host first reported that it has received the change. */
	readonly ackedAtByHost: Map<string, number>;
};

/** Records when hosts have received changes. */
type ChangeAcknowledgements = {
	readonly seenAt: (change: Change) => number;
	/** Returns when a host first reported the change; `undefined` if it has not. */
	readonly ackedAt: (change: Change, host: string) => number | undefined;
	/** Records which versions a host has received. */
	readonly record: (changes: readonly Change[], host: string, contentVersions: Readonly<Record<string, number>>) => void;
	/** Follows these changes from now on, and forgets all others. */
	readonly follow: (changes: readonly Change[]) => void;
};

function toKey({kind, contentVersion}: Change): string {
	return `${kind}/${contentVersion}`;
}

/**
Creates the record of which hosts have received which changes.

@param now - Monotonic clock in milliseconds.
*/
export function createChangeAcknowledgements(now: () => number): ChangeAcknowledgements {
	const records = new Map<string, ChangeRecord>();

	const find = (change: Change): ChangeRecord => {
		const key = toKey(change);
		const record = records.get(key) ?? {seenAt: now(), ackedAtByHost: new Map<string, number>()};
		records.set(key, record);
		return record;
	};

	return {
		seenAt: change => find(change).seenAt,
		ackedAt: (change, host) => find(change).ackedAtByHost.get(host),
		record(changes, host, contentVersions) {
			for (const change of changes) {
				const {ackedAtByHost} = find(change);
				if ((contentVersions[change.kind] ?? 0) >= change.contentVersion && !ackedAtByHost.has(host)) {
					ackedAtByHost.set(host, now());
				}
			}
		},
		follow(changes) {
			const keys = new Set(changes.map(change => toKey(change)));
			for (const change of changes) {
				find(change);
			}

			for (const key of records.keys()) {
				if (!keys.has(key)) {
					records.delete(key);
				}
			}
		},
	};
}
