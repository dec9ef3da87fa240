import {z} from 'zod';
import {type CondemnedRequest} from '../decide/poison/condemned-request.js';
import {type CondemnedParts} from '../decide/poison/condemned-parts.js';
import {createClearedEntries} from '../decide/poison/create-cleared-entries.js';
import {mergeCondemnedParts} from '../decide/poison/merge-condemned-parts.js';
import {mergeCondemnedRequests} from '../decide/poison/merge-condemned-requests.js';
import {poisonLimits} from '../decide/poison/poison-limits.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';
import {type ObjectStore} from '../object-store/object-store.js';
import {type CondemnedRequestList} from './condemned-request-list.js';

/** Name of the one object that holds the list. */
const objectName = 'requests';
const retryDelayMs = 500;
/** Hosts add again what the store has lost at random moments of this time, so that few of them write. */
const relistSpreadMs = 5000;

const listSchema = z.object({
	requests: z.array(z.object({digest: z.string(), until: z.number()})),
	parts: z.array(z.object({
		parts: z.array(z.string()).min(1), workspace: z.string().optional(), until: z.number(), upstreams: z.array(z.string()),
	})).default([]),
	cleared: z.array(z.object({
		parts: z.array(z.string()).min(1), workspace: z.string().optional(), until: z.number(), cleared: z.array(z.string()),
	})).default([]),
});

/** The stored list. */
type CondemnedList = z.infer<typeof listSchema>;

/** Options of `createCondemnedRequestList`. */
type CondemnedRequestListOptions = {
	readonly store: Pick<ObjectStore, 'read' | 'create' | 'replace'>;
	/** Kind of the object that holds the list. */
	readonly kind: string;
	readonly random: () => number;
	/** Called with the listed requests and parts after each change of the list. */
	readonly onChange: (requests: readonly CondemnedRequest[], parts: readonly CondemnedParts[]) => void;
	/** Called before it with the parts that other hosts have cleared since the last change. */
	readonly onCleared: (parts: readonly string[]) => void;
};

const emptyList: CondemnedList = {requests: [], parts: [], cleared: []};

const getKey = ({parts, workspace}: CondemnedParts): string => JSON.stringify([parts.toSorted(), workspace]);

function decodeList(value: unknown): CondemnedList {
	const parsed = listSchema.safeParse(value);
	if (!parsed.success) {
		log.warn({error: z.prettifyError(parsed.error)}, 'list of condemned requests cannot be decoded');
	}

	return parsed.data ?? emptyList;
}

/** Creates the shared list. Hosts that start later, or that no report reached, refuse the requests in it too. */
export function createCondemnedRequestList({store, kind, random, onChange, onCleared}: CondemnedRequestListOptions): CondemnedRequestList {
	const unlisted = new Map<string, CondemnedRequest>();
	const unlistedParts = new Map<string, CondemnedParts>();
	let listedUntil: ReadonlyMap<string, number> = new Map();
	/** Condemned parts as they are in the store, and those of them that are not cleared. */
	let stored: readonly CondemnedParts[] = [];
	let listedParts: ReadonlyMap<string, CondemnedParts> = new Map();
	const clearedEntries = createClearedEntries();
	/** Whether the list in the store still has parts that were cleared. */
	let hasCleared = false;
	/** Epoch of the store in which the list was seen last. */
	let epoch: number | undefined;
	let isWriting = false;
	let hasStopped = false;

	const removeListed = (requests: readonly CondemnedRequest[], parts: readonly CondemnedParts[]): void => {
		for (const {digest} of requests) {
			unlisted.delete(digest);
		}

		for (const condemned of parts) {
			unlistedParts.delete(getKey(condemned));
		}
	};

	const countUnlisted = (): number => unlisted.size + unlistedParts.size;

	const hasWork = (): boolean => countUnlisted() > 0 || hasCleared;

	const countParts = (entries: readonly CondemnedParts[]): number => entries.reduce((sum, {parts}) => sum + parts.length, 0);

	const isCleared = (entries: readonly CondemnedParts[]): boolean => countParts(clearedEntries.apply(entries)) < countParts(entries);

	/** Adds the unlisted requests and parts and takes out the cleared ones, unless another host changes the list in between. */
	const writeOnce = async (): Promise<void> => {
		const object = await store.read(kind, objectName);
		const list = object ? decodeList(object.value) : emptyList;
		clearedEntries.add(list.cleared);
		if (countUnlisted() === 0 && !isCleared(list.parts)) {
			hasCleared = false;
			return;
		}

		const added = [...unlisted.values()];
		const addedParts = [...unlistedParts.values()];
		const requests = mergeCondemnedRequests(list.requests, added, Date.now());
		const parts = mergeCondemnedParts(clearedEntries.apply(list.parts), addedParts, Date.now());
		const cleared = clearedEntries.list(Date.now());
		const value = {requests, parts, cleared};
		const written = await (object ? store.replace(kind, objectName, value, object) : store.create(kind, objectName, value));
		if (written) {
			hasCleared = false;
			removeListed(added, addedParts);
			log.info({
				added: added.map(({digest}) => digest), addedParts: addedParts.map(condemned => condemned.parts),
				requests: requests.length, parts: parts.length, cleared: cleared.length, revision: written.revision,
			}, 'condemned requests stored');
		}
	};

	const write = async (): Promise<void> => {
		isWriting = true;
		while (hasWork() && !hasStopped) {
			try {
				await writeOnce();
			} catch (error) {
				logFailure(error, {unlisted: countUnlisted()}, 'condemned requests could not be stored, retrying');
				await sleep(retryDelayMs * (1 + random()));
			}
		}

		isWriting = false;
	};

	const writeDelayed = async (delayMs: number): Promise<void> => {
		await sleep(delayMs);
		if (hasWork() && !isWriting) {
			await write();
		}
	};

	const addRequest = (request: CondemnedRequest, delayMs: number): void => {
		unlisted.set(request.digest, request);
		void writeDelayed(delayMs);
	};

	const addParts = (condemned: CondemnedParts, delayMs: number): void => {
		unlistedParts.set(getKey(condemned), condemned);
		void writeDelayed(delayMs);
	};

	const setListed = (parts: readonly CondemnedParts[]): void => {
		stored = parts;
		listedParts = new Map(clearedEntries.apply(parts).map(condemned => [getKey(condemned), condemned]));
		hasCleared = isCleared(parts);
	};

	/** Adds again what the store lost when it came back from an older copy; hosts that come later find it listed. */
	const relistLost = (requests: readonly CondemnedRequest[], parts: readonly CondemnedParts[]): void => {
		const lost = requests.filter(({digest, until}) => until > Date.now() && !listedUntil.has(digest));
		const lostParts = parts.filter(condemned => condemned.until > Date.now() && !listedParts.has(getKey(condemned)));
		for (const request of lost) {
			addRequest(request, random() * relistSpreadMs);
		}

		for (const condemned of lostParts) {
			addParts(condemned, random() * relistSpreadMs);
		}

		if (lost.length > 0 || lostParts.length > 0) {
			log.info({
				lost: lost.map(({digest}) => digest), lostParts: lostParts.map(condemned => condemned.parts), epoch,
			}, 'store lost condemned requests, adding them again');
		}
	};

	return {
		add(digest, delayMs) {
			if ((listedUntil.get(digest) ?? 0) <= Date.now()) {
				addRequest({digest, until: Date.now() + poisonLimits.retentionMs}, delayMs);
			}
		},
		addParts(condemned, delayMs) {
			if (!listedParts.has(getKey(condemned))) {
				addParts(condemned, delayMs);
			}
		},
		clearParts(parts, delayMs) {
			if (!clearedEntries.clear([...stored, ...unlistedParts.values()], parts)) {
				return;
			}

			const stillUnlisted = clearedEntries.apply([...unlistedParts.values()]);
			unlistedParts.clear();
			for (const condemned of stillUnlisted) {
				unlistedParts.set(getKey(condemned), condemned);
			}

			setListed(stored);
			void writeDelayed(delayMs);
		},
		listUnlistedParts: () => [...unlistedParts.values()],
		isUnlisted: digest => unlisted.has(digest),
		applyObjects(objects, _confirmedAt, currentEpoch) {
			const before = [...listedUntil].map(([digest, until]) => ({digest, until}));
			const object = objects.find(({name}) => name === objectName);
			const list = object ? decodeList(object.value) : emptyList;
			const requests = list.requests.filter(({until}) => until > Date.now());
			const partsBefore = [...listedParts.values()];
			listedUntil = new Map(requests.map(({digest, until}) => [digest, until]));
			const clearedByOthers = clearedEntries.add(list.cleared);
			const hadCleared = hasCleared;
			setListed(list.parts.filter(({until}) => until > Date.now()));
			if (hasCleared && !hadCleared) {
				void writeDelayed(random() * relistSpreadMs);
			}

			const parts = [...listedParts.values()];
			removeListed(requests, parts);
			if (clearedByOthers.length > 0) {
				log.info({parts: clearedByOthers}, 'parts of prompts are listed as cleared');
				onCleared(clearedByOthers);
			}

			onChange(requests, parts);
			if (currentEpoch !== epoch) {
				epoch = currentEpoch;
				relistLost(before, partsBefore);
			}
		},
		stop() {
			hasStopped = true;
		},
	};
}
