import {estimateSupersededAt} from '../decide/kept/estimate-superseded-at.js';
import {log} from '../observe/log.js';
import {type GatewayAdapter} from './gateway-adapter.js';
import {type IndexedConfiguration} from './indexed-configuration.js';
import {type DesiredWeights} from './desired-weights.js';
import {indexConfiguration} from './index-configuration.js';
import {type Route} from './route.js';
import {type Service} from './service.js';
import {type StoredObject} from './stored-object.js';
import {type Upstream} from './upstream.js';

/** Who hears of changes. */
type StoredStateListener = {
	readonly onServicesChange: (services: readonly Service[]) => void;
	readonly onUpstreamsChange: (upstreams: readonly Upstream[]) => void;
};

/** What the platform's store says, decoded. */
type StoredState = {
	readonly applyConfiguration: (objects: readonly StoredObject[]) => void;
	readonly applyUpstreams: (objects: readonly StoredObject[]) => void;
	/** @param confirmedAt - When the store had answered last before these came. */
	readonly applyWeights: (objects: readonly StoredObject[], confirmedAt: number | undefined) => void;
	/** The configuration in force; `undefined` before the first one. */
	readonly state: () => IndexedConfiguration | undefined;
	readonly findService: (name: string) => Service | undefined;
	/** Least objective of the routes to a service that are more urgent than a route, in milliseconds. */
	readonly findUrgentObjectiveMs: (route: Route, service: string) => number | undefined;
	/** The newest weights named for each model. */
	readonly weights: () => readonly DesiredWeights[];
	/** All namings that this host has seen, oldest first. */
	readonly desiredWeightsHistory: () => readonly DesiredWeights[];
	/** The first naming of newer weights than `version`; `undefined` when none is known. */
	readonly findNewerWeights: (model: string, version: number) => DesiredWeights | undefined;
};

/** Decodes what the store says. Versions only go up; what can't be read is logged and ignored. */
export function createStoredState(
	{decodeConfiguration, decodeUpstream, decodeWeights}: Pick<GatewayAdapter, 'decodeConfiguration' | 'decodeUpstream' | 'decodeWeights'>,
	{onServicesChange, onUpstreamsChange}: StoredStateListener,
	now: () => number,
): StoredState {
	let state: IndexedConfiguration | undefined;
	let services: ReadonlyMap<string, Service> = new Map();
	const weights = new Map<string, DesiredWeights>();
	const history: DesiredWeights[] = [];
	const ignoredEntries = new Set<string>();

	return {
		applyConfiguration(objects) {
			for (const {value, revision} of objects) {
				const configuration = decodeConfiguration(value);
				if (!configuration) {
					log.warn({revision}, 'configuration can not be read, the one in force stays');
				} else if (configuration.version > (state?.configuration.version ?? -1)) {
					state = indexConfiguration(configuration);
					services = new Map(configuration.services.map(service => [service.name, service]));
					onServicesChange(configuration.services);
					log.info({
						version: configuration.version, revision, routes: configuration.routes.length, services: configuration.services.length,
					}, 'configuration in force');
				}
			}
		},
		applyUpstreams(objects) {
			const upstreams: Upstream[] = [];
			for (const object of objects) {
				const upstream = decodeUpstream(object);
				if (upstream) {
					upstreams.push(upstream);
				} else if (!ignoredEntries.has(object.name)) {
					ignoredEntries.add(object.name);
					log.warn({entry: object.name, revision: object.revision}, 'entry of the upstream list can not be read, ignored');
				}
			}

			onUpstreamsChange(upstreams);
		},
		applyWeights(objects, confirmedAt) {
			for (const {value, name: entry, revision} of objects) {
				const decoded = decodeWeights(value);
				if (!decoded) {
					log.warn({entry, revision}, 'named weights can not be read, ignored');
				} else if (decoded.version > (weights.get(decoded.model)?.version ?? 0)) {
					const desired = {
						...decoded, revision, learnedAt: now(), supersededAt: estimateSupersededAt(now(), confirmedAt),
					};
					weights.set(decoded.model, desired);
					history.push(desired);
					log.info({model: decoded.model, version: decoded.version, revision}, 'weights named');
				}
			}
		},
		state: () => state,
		findService: name => services.get(name),
		findUrgentObjectiveMs(route, service) {
			const urgent = [...state?.objectivesByService.get(service) ?? []].filter(([priority]) => priority < route.priority).map(([, objectiveMs]) => objectiveMs);
			return urgent.length > 0 ? Math.min(...urgent) : undefined;
		},
		weights: () => [...weights.values()],
		desiredWeightsHistory: () => history,
		findNewerWeights: (model, version) => history.find(naming => naming.model === model && naming.version > version),
	};
}
