import {playRelease} from './cluster/play-release.mjs';
import {runCase} from './cluster/run-case.mjs';

/** More streams than these break the rule. */
const maxMixed = 2;

await runCase(import.meta.dirname, async options => {
	const {record} = options;
	const streams = await playRelease({...options, downMs: 500});
	const mixed = streams.filter(({events}) => new Set(events.map(({version}) => version)).size > 1);
	for (const {events, tries} of mixed) {
		const changes = events.filter(({version}, index) => index === 0 || events[index - 1].version !== version);
		record({
			what: 'stream holds events of two software versions', versions: changes.map(({id, version, host}) => `from ${id}: ${version} by ${host}`), tries: tries.length,
		});
	}

	record({
		what: 'result', streams: streams.length, complete: streams.filter(({tries}) => tries.at(-1)?.isComplete).length,
		takenUp: streams.filter(({takenUp}) => takenUp > 0).length, mixed: mixed.length,
	});
	return mixed.length <= maxMixed;
});
