import {type Upstream} from '../forwarding/upstream.js';
import {type RequiredVersion} from './required-version.js';
import {type SeenVersion} from './seen-version.js';
import {type StreamAnswer} from './stream-answer.js';
import {type StreamGroup} from './stream-group.js';
import {type StreamSearch} from './stream-search.js';
import {type TakenUpStream} from './taken-up-stream.js';

/** Which software version of its service began each stream, as far as this host and those it asks know. */
export type StreamVersions = {
	/** Records that the first event of a response has been delivered. */
	readonly recordBegin: (requestId: string, service: string, version: string) => void;
	/** Returns the software version of a start that the list did not show when a stream began there, if it does now; others as they are. */
	readonly toListed: (service: string, version: string | undefined) => string | undefined;
	/** Returns the version at which a stream must go on. */
	readonly findRequired: (stream: TakenUpStream) => Promise<RequiredVersion>;
	/** Records what another host tells of streams that it began. */
	readonly receive: (groups: readonly StreamGroup[]) => void;
	/**
	Returns the only version at which a stream may begin here now; `undefined` where any will do. While this host can't tell enough other ones of its streams,
	they begin at the version of their service that has served the longest.
	*/
	readonly findBeginVersion: (service: string, requestId: string) => Promise<string | undefined>;
	/** Returns what this host knows of a stream of a service, as far as the service is named; a stream may be as old as any where its age is not named. */
	readonly answer: (search: Pick<StreamSearch, 'id'> & Partial<StreamSearch>) => StreamAnswer;
	/** Records the versions that are listed. */
	readonly recordUpstreams: (upstreams: readonly Upstream[]) => void;
	/** Notes the versions that are listed now; returns those of services with several ones, for the report to other hosts. */
	readonly reviewVersions: () => readonly SeenVersion[];
	/** Records the versions that another host has seen. */
	readonly recordSeenVersions: (seen: readonly SeenVersion[]) => void;
	/** Returns whether others have not been told of some stream, or it is not stored yet. */
	readonly hasUnstored: () => boolean;
	/** Tells and stores what others don't know yet, before this host stops; resolves at the latest after a time in milliseconds. */
	readonly flush: (timeoutMs: number) => Promise<void>;
	readonly stop: () => void;
};
