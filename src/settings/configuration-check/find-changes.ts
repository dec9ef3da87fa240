import {createRouteFinder} from '../../decide/forwarding/create-route-finder.js';
import {toHostName} from '../../decide/forwarding/to-host-name.js';
import {type Workspace} from '../../forwarding/workspace.js';
import {type CheckedConfiguration} from './checked-configuration.js';
import {type ConfigurationFinding} from './configuration-finding.js';
import {describeChange} from './describe-change.js';

type Path = ConfigurationFinding['path'];

const toFinding = (path: Path, message: string): ConfigurationFinding => ({category: 'change', path, message});
const toRemoval = (path: Path, message: string): ConfigurationFinding => ({...toFinding(path, message), isRemoved: true});

/** Finds the changed fields of an entry; lists are compared as a whole. */
function compareFields(before: unknown, after: unknown, path: Path): readonly ConfigurationFinding[] {
	if (JSON.stringify(before) === JSON.stringify(after)) {
		return [];
	}

	const areObjects = [before, after].every(value => typeof value === 'object' && value !== null && !Array.isArray(value));
	if (!areObjects) {
		return [toFinding(path, describeChange(path, before, after))];
	}

	const [old, current] = [before, after] as ReadonlyArray<Readonly<Record<string, unknown>>>;
	return [...new Set([...Object.keys(old!), ...Object.keys(current!)])].flatMap(field => compareFields(old![field], current![field], [...path, field]));
}

/** Pairs the entries of a list in two versions by what identifies them; of several with one identity the first counts. */
function compareLists<T>(list: string, before: readonly T[], after: readonly T[], rules: {
	readonly identify: (entry: T) => string;
	readonly describeAdded: (entry: T) => string;
	readonly describeRemoved: (entry: T) => string;
	readonly toFields?: (entry: T) => unknown;
}): readonly ConfigurationFinding[] {
	const {identify, describeAdded, describeRemoved, toFields = (entry: T) => entry} = rules;
	const findIn = (entries: readonly T[], wanted: T): T | undefined => entries.find(entry => identify(entry) === identify(wanted));
	return [
		...before.flatMap((entry, index) => findIn(after, entry) === undefined ? [toRemoval([list, index], describeRemoved(entry))] : []),
		...after.flatMap((entry, index) => {
			const old = findIn(before, entry);
			if (old === undefined) {
				return [toFinding([list, index], describeAdded(entry))];
			}

			return findIn(after, entry) === entry ? compareFields(toFields(old), toFields(entry), [list, index]) : [];
		}),
	];
}

function findRouteChanges(before: CheckedConfiguration, after: CheckedConfiguration): readonly ConfigurationFinding[] {
	const findOld = createRouteFinder(before.routes);
	const findNew = createRouteFinder(after.routes);
	return compareLists('routes', before.routes, after.routes, {
		identify: ({host, pathPrefix}) => `${toHostName(host)} ${pathPrefix}`,
		describeAdded({name, host, pathPrefix}) {
			const old = findOld(host, pathPrefix);
			return `new route ${name}: its requests ${old ? `were taken by route ${old.name}` : 'got 404'}`;
		},
		describeRemoved({name, host, pathPrefix}) {
			const other = findNew(host, pathPrefix);
			return `route ${name} is gone: its requests ${other ? `are taken by route ${other.name}` : 'get 404'}`;
		},
	});
}

function findKeyChanges(before: readonly Workspace[], after: readonly Workspace[], allowsAnonymous: boolean): readonly ConfigurationFinding[] {
	const toHolders = (workspaces: readonly Workspace[]): ReadonlyMap<string, {readonly name: string; readonly path: Path}> => new Map(workspaces.flatMap(({name, keys}, index) =>
		keys.map((key, position) => [key, {name, path: ['workspaces', index, 'keys', position]}] as const)));
	const oldHolders = toHolders(before);
	const newHolders = toHolders(after);
	return [
		...[...oldHolders].flatMap(([key, {path, name}]) => newHolders.has(key)
			? []
			: [toRemoval(path, `a key of workspace ${name} is gone: requests with it get 401${allowsAnonymous ? ', but on routes that allow requests without a key' : ''}`)]),
		...[...newHolders].flatMap(([key, {path, name}]) => {
			const old = oldHolders.get(key);
			if (!old) {
				return [toFinding(path, `a new key of workspace ${name}: requests with it got 401`)];
			}

			return old.name === name ? [] : [toFinding(path, `a key moved from workspace ${old.name} to ${name}: its requests count for ${name}`)];
		}),
	];
}

function findWorkspaceChanges({workspaces: before}: CheckedConfiguration, {workspaces: after, routes}: CheckedConfiguration): readonly ConfigurationFinding[] {
	if (!before || !after) {
		return before === after
			? []
			: [after ? toFinding(['workspaces'], 'keys are now needed: requests without a known key get 401') : toRemoval(['workspaces'], 'keys are no longer needed: every request is served')];
	}

	const describeIsolation = ({isIsolated}: Workspace): string => isIsolated ? '; it is isolated: shared parts of prompts are read once more' : '';
	return [
		...compareLists('workspaces', before, after, {
			identify: ({name}) => name,
			describeAdded: workspace => `new workspace ${workspace.name}${describeIsolation(workspace)}`,
			describeRemoved: workspace => `workspace ${workspace.name} is gone${describeIsolation(workspace)}`,
			toFields: ({priority, isIsolated}) => ({priority, isIsolated}),
		}),
		...findKeyChanges(before, after, routes.some(({allowsAnonymous}) => allowsAnonymous)),
	];
}

/** Finds what differs from the configuration in force, field by field, and what callers notice of it. */
export function findChanges(before: CheckedConfiguration, after: CheckedConfiguration): readonly ConfigurationFinding[] {
	const toServices = ({services, coldStarts}: CheckedConfiguration) => services.map(({coldStartMs, coldPerS, ...service}, index) => ({...service, ...coldStarts[index]}));
	return [
		...(after.version > before.version ? [] : [toFinding(['version'], `version ${after.version} is not higher than ${before.version}, the one in force: the configuration is ignored`)]),
		...findRouteChanges(before, after),
		...compareLists('services', toServices(before), toServices(after), {
			identify: ({name}) => name,
			describeAdded: ({name}) => `new service ${name}`,
			describeRemoved: ({name}) => `service ${name} is gone: no request goes to its upstreams`,
		}),
		...findWorkspaceChanges(before, after),
		...compareFields(before.limits, after.limits, ['limits']),
	];
}
