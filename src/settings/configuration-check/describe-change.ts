type Describe = (before: unknown, after: unknown) => string;

const ifLower = (lower: string, higher: string): Describe => (before, after) => Number(after) < Number(before) ? lower : higher;
const ifSet = (set: string, cleared: string): Describe => (_before, after) => after ? set : cleared;

const format = (value: unknown): string => value === undefined ? 'not set' : JSON.stringify(value);

/** Services with a share of a route's requests. */
const listServices = (targets: unknown): string => (targets as ReadonlyArray<{readonly service: string; readonly weight: number}>)
	.filter(({weight}) => weight > 0).map(({service}) => service).toSorted().join(', ') || 'no service';

/** What callers notice of a changed field, by its path without indices. */
const descriptions: Readonly<Record<string, Describe>> = {
	'routes.timeoutMs': ifLower('shorter time-out: requests that take longer get 504', 'longer time-out: requests may take longer before they get 504'),
	'routes.objectiveMs': ifLower('shorter objective: more requests get 429 when upstreams are busy', 'longer objective: requests wait longer before they get 429'),
	'routes.targets': (before, after) => listServices(before) === listServices(after)
		? 'the shares of the services change'
		: `moved to another service: requests go to ${listServices(after)} instead of ${listServices(before)}`,
	'routes.allowsAnonymous': ifSet('requests without a key are served', 'requests without a known key get 401'),
	'routes.kind': () => 'other rules for sending a request again',
	'routes.isResumable': ifSet('interrupted streams go on at another upstream', 'interrupted streams end'),
	'routes.maxAttempts': ifLower('fewer attempts: more failures of upstreams reach callers', 'more attempts: fewer failures of upstreams reach callers'),
	'routes.priority': ifLower('more urgent: waits less', 'less urgent: waits longer'),
	'workspaces.priority': () => 'its requests have another urgency',
	'workspaces.isIsolated': ifSet('isolated: shared parts of prompts are read once more', 'no longer isolated: shared parts of prompts are read once more'),
	'limits.bodyBytes': ifLower('larger bodies get 413', 'larger bodies are accepted'),
	'limits.headerBytes': ifLower('larger headers get 431', 'larger headers are accepted'),
	'limits.headerTimeoutMs': ifLower('slower headers get 408', 'slower headers are accepted'),
	'limits.idleTimeoutMs': ifLower('pauses may be shorter before a connection ends', 'pauses may be longer before a connection ends'),
};

/** Describes what callers notice when the field at `path` changes. */
export function describeChange(path: ReadonlyArray<string | number>, before: unknown, after: unknown): string {
	const notice = descriptions[path.filter(part => typeof part === 'string').join('.')]?.(before, after) ?? 'callers notice nothing of the change itself';
	return [before, after].some(value => typeof value === 'object') ? notice : `${format(before)} -> ${format(after)}: ${notice}`;
}
