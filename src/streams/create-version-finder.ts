import {rankOwners} from '../decide/membership/rank-owners.js';
import {canOnlyBeUntold} from '../decide/streams/can-only-be-untold.js';
import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type KnownHost} from '../reports/known-host.js';
import {type StreamArchive} from './stream-archive.js';
import {type StreamSearch} from './stream-search.js';

/** Hosts that are asked at once for the version of a stream; the others only before it is concluded from their not knowing it. */
const maxAsked = 12;

/** The version that began a stream, and who said so. */
type FoundVersion = {readonly version: string; readonly from: string};
/** What other hosts have answered. */
type Asked = {
	readonly found: FoundVersion | undefined;
	/** Names of the hosts that don't know the stream and have been there since before it began. */
	readonly remember: ReadonlySet<string>;
	/** Names of the hosts that were heard of late and may know better: those that were asked and have not answered, and those that are not heard any more. */
	readonly silent: readonly string[];
};

/** Dependencies of the finder. */
type VersionFinderOptions = {
	/** Returns the other hosts with a recent report. */
	readonly alive: () => readonly KnownHost[];
	/** Returns those that are asked. */
	readonly listReachable: () => readonly KnownHost[];
	/** Returns those that were heard while streams may have begun that are taken up now. */
	readonly listHeard: () => readonly KnownHost[];
	readonly call: PeerRpc;
	readonly archive: Pick<StreamArchive, 'lookUp' | 'hasJustRead' | 'findOldest'>;
	/** Returns whether an upstream of a version takes new work. */
	readonly takesNewWork: (service: string, softwareVersion: string) => boolean;
	/** Returns whether this host has been there since before a stream began. */
	readonly remembers: (search: StreamSearch) => boolean;
};

/** Finds the version of a stream that this host does not know. */
type VersionFinder = {
	/** Asks hosts that were heard of late. */
	readonly askHeard: (search: StreamSearch, timeoutMs: number) => Promise<Asked>;
	/** Asks other hosts, then the store; concludes the version where nobody can know it. */
	readonly findVersion: (search: StreamSearch, timeoutMs: number) => Promise<FoundVersion | undefined>;
};

/** Creates the finder. */
export function createVersionFinder({alive, listReachable, listHeard, call, archive, takesNewWork, remembers}: VersionFinderOptions): VersionFinder {
	/** Hosts that may have been told of a stream come first. */
	const rank = (id: string, hosts: readonly KnownHost[]): readonly KnownHost[] => {
		const byName = new Map(hosts.map(host => [host.host, host]));
		return rankOwners([...byName.keys()], id).map(name => byName.get(name)!);
	};

	/** Asks other hosts for the version that began a stream, until one knows it. */
	const ask = async (search: StreamSearch, asked: readonly KnownHost[], timeoutMs: number): Promise<Asked> => {
		const answered = new Set<string>();
		const remember = new Set<string>();
		try {
			const found = await Promise.any(asked.map(async ({host, peers}) => {
				const {version, remembers: isFromBefore = false} = await call(peers, 'gateway.streamVersion', search, {timeoutMs});
				answered.add(host);
				if (isFromBefore) {
					remember.add(host);
				}

				if (version === null) {
					throw new Error(`${host} does not know the stream`);
				}

				return {version, from: host};
			}));
			return {found, remember, silent: []};
		} catch (error) {
			const fine = new Set([...answered, ...alive().map(({host}) => host).filter(name => !asked.some(({host}) => host === name))]);
			const silent = listHeard().map(({host}) => host).filter(name => !fine.has(name));
			log.info({
				begunBy: search.id, maxAgeMs: search.maxAgeMs, answered: [...answered], remember: [...remember], silent, errors: (error as AggregateError).errors?.map(String),
			}, 'no host knows the version that began a stream');
			return {found: undefined, remember, silent};
		}
	};

	/** Whether a stream that nobody knows can only have begun where no other host could be told of it. */
	const isUntold = (search: StreamSearch, remember: ReadonlySet<string>): boolean => canOnlyBeUntold([
		{remembers: remembers(search)},
		...listHeard().map(({host}) => ({remembers: remember.has(host)})),
	]);

	/**
	Finds the version of a stream that neither the hosts asked first nor the store know. A host that can't tell enough other ones begins streams at the oldest
	version only, unless that takes no new work, so that a stream is of that version if all that were told of another one can't be lost.
	*/
	const findUntold = async (search: StreamSearch, others: readonly KnownHost[], first: Asked, timeoutMs: number): Promise<FoundVersion | undefined> => {
		const oldest = archive.findOldest(search.service);
		if (oldest === undefined || !takesNewWork(search.service, oldest) || !archive.hasJustRead()) {
			return undefined;
		}

		const rest = others.length > 0 ? await ask(search, others, timeoutMs) : undefined;
		if (rest?.found) {
			return rest.found;
		}

		return isUntold(search, new Set([...first.remember, ...rest?.remember ?? []])) ? {version: oldest, from: 'oldest version'} : undefined;
	};

	return {
		askHeard: async (search, timeoutMs) => ask(search, rank(search.id, listHeard()).slice(0, maxAsked), timeoutMs),
		async findVersion(search, timeoutMs) {
			const hosts = rank(search.id, listReachable());
			const first = await ask(search, hosts.slice(0, maxAsked), timeoutMs);
			if (first.found) {
				return first.found;
			}

			const stored = await archive.lookUp(search.id);
			return stored === undefined ? findUntold(search, hosts.slice(maxAsked), first, timeoutMs) : {version: stored, from: 'store'};
		},
	};
}
