import {estimateSupersededAt} from '../decide/kept/estimate-superseded-at.js';
import {log} from '../observe/log.js';
import {type GatewayAdapter} from './gateway-adapter.js';
import {type GatewayState} from './gateway-state.js';
import {type NamedWeights} from './named-weights.js';
import {prepareConfiguration} from './prepare-configuration.js';
import {type Route} from './route.js';
import {type Service} from './service.js';
import {type StoredObject} from './stored-object.js';
import {type Upstream} from './upstream.js';

/** Who hears of changes. */
type StoredStateListener = {
	readonly onServices: (services: readonly Service[]) => void;
	readonly onUpstreams: (upstreams: readonly Upstream[]) => void;
};

/** What the platform's store says, decoded. */
type StoredState = {
	readonly takeConfiguration: (objects: readonly StoredObject[]) => void;
	readonly takeUpstreams: (objects: readonly StoredObject[]) => void;
	/** @param confirmedAt - When the store had answered last before these came. */
	readonly takeWeights: (objects: readonly StoredObject[], confirmedAt: number | undefined) => void;
	/** The configuration in force; `undefined` before the first one. */
	readonly state: () => GatewayState | undefined;
	readonly serviceOf: (name: string) => Service | undefined;
	/** Least objective of the routes to a service that are more urgent than a route, in milliseconds. */
	readonly urgentObjectiveOf: (route: Route, service: string) => number | undefined;
	/** The newest weights named for each model. */
	readonly weights: () => readonly NamedWeights[];
	/** All namings that this host has seen, oldest first. */
	readonly namings: () => readonly NamedWeights[];
	/** The first naming of newer weights than `version`; `undefined` when none is known. */
	readonly newerNaming: (model: string, version: number) => NamedWeights | undefined;
};

/** Decodes what the store says. Versions only go up; what can't be read is logged and ignored. */
export function createStoredState(
	{decodeConfiguration, decodeUpstream, decodeWeights}: Pick<GatewayAdapter, 'decodeConfiguration' | 'decodeUpstream' | 'decodeWeights'>,
	{onServices, onUpstreams}: StoredStateListener,
	now: () => number,
): StoredState {
	let state: GatewayState | undefined;
	let services: ReadonlyMap<string, Service> = new Map();
	const weights = new Map<string, NamedWeights>();
	const namings: NamedWeights[] = [];
	const ignored = new Set<string>();

	return {
		takeConfiguration(objects) {
			for (const {value, revision} of objects) {
				const configuration = decodeConfiguration(value);
				if (!configuration) {
					log.warn({revision}, 'configuration can not be read, the one in force stays');
				} else if (configuration.version > (state?.configuration.version ?? -1)) {
					state = prepareConfiguration(configuration);
					services = new Map(configuration.services.map(service => [service.name, service]));
					onServices(configuration.services);
					log.info({
						version: configuration.version, revision, routes: configuration.routes.length, services: configuration.services.length,
					}, 'configuration in force');
				}
			}
		},
		takeUpstreams(objects) {
			const upstreams: Upstream[] = [];
			for (const object of objects) {
				const upstream = decodeUpstream(object);
				if (upstream) {
					upstreams.push(upstream);
				} else if (!ignored.has(object.name)) {
					ignored.add(object.name);
					log.warn({entry: object.name, revision: object.revision}, 'entry of the upstream list can not be read, ignored');
				}
			}

			onUpstreams(upstreams);
		},
		takeWeights(objects, confirmedAt) {
			for (const {value, name: entry, revision} of objects) {
				const named = decodeWeights(value);
				if (!named) {
					log.warn({entry, revision}, 'named weights can not be read, ignored');
				} else if (named.version > (weights.get(named.model)?.version ?? 0)) {
					const naming = {
						...named, revision, knownAt: now(), datedAt: estimateSupersededAt(now(), confirmedAt),
					};
					weights.set(named.model, naming);
					namings.push(naming);
					log.info({model: named.model, version: named.version, revision}, 'weights named');
				}
			}
		},
		state: () => state,
		serviceOf: name => services.get(name),
		urgentObjectiveOf(route, service) {
			const urgent = [...state?.objectives.get(service) ?? []].filter(([priority]) => priority < route.priority).map(([, objectiveMs]) => objectiveMs);
			return urgent.length > 0 ? Math.min(...urgent) : undefined;
		},
		weights: () => [...weights.values()],
		namings: () => namings,
		newerNaming: (model, version) => namings.find(naming => naming.model === model && naming.version > version),
	};
}
