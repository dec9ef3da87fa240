import {type StreamGroup} from '../../streams/stream-group.js';

/** A stream with the hosts that are told of it. */
type ToldStream = {
	readonly id: string;
	readonly service: string;
	readonly version: string;
	readonly hosts: readonly string[];
};

/** Groups streams by the host that is told of them, and for each by service and version. */
export function groupStreams(streams: readonly ToldStream[]): ReadonlyMap<string, readonly StreamGroup[]> {
	const byHost = new Map<string, Map<string, {readonly service: string; readonly version: string; readonly ids: string[]}>>();
	for (const {id, service, version, hosts} of streams) {
		for (const host of hosts) {
			const groups = byHost.get(host) ?? new Map<string, {readonly service: string; readonly version: string; readonly ids: string[]}>();
			const key = `${service}\n${version}`;
			const group = groups.get(key) ?? {service, version, ids: []};
			group.ids.push(id);
			groups.set(key, group);
			byHost.set(host, groups);
		}
	}

	return new Map([...byHost].map(([host, groups]) => [host, [...groups.values()]]));
}
