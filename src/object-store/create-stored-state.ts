import {createKvSharing} from '../decide/kv-cache/create-kv-sharing.js';
import {estimateSupersededAt} from '../decide/kv-cache/estimate-superseded-at.js';
import {createRemovedEntryFilter} from '../decide/object-store/create-removed-entry-filter.js';
import {type WeightAges} from '../decide/weights/weight-ages.js';
import {log} from '../observe/log.js';
import {type Clocks} from '../util/clocks.js';
import {memoizeWeakly} from '../util/memoize-weakly.js';
import {type GatewayAdapter} from '../forwarding/gateway-adapter.js';
import {type DesiredWeights} from '../forwarding/desired-weights.js';
import {type Route} from '../forwarding/route.js';
import {type Service} from '../forwarding/service.js';
import {type Upstream} from '../forwarding/upstream.js';
import {createColdnessDater} from './create-coldness-dater.js';
import {createInvalidEntryLog} from './create-invalid-entry-log.js';
import {type StoredObject} from './stored-object.js';
import {type KvSharingState} from './kv-sharing-state.js';
import {indexConfiguration} from './index-configuration.js';
import {type IndexedConfiguration} from './indexed-configuration.js';

/** Callbacks for changes of the stored state. */
type StoredStateListener = {
	readonly onServicesChange: (services: readonly Service[]) => void;
	readonly onUpstreamsChange: (upstreams: readonly Upstream[]) => void;
};

/** The decoded objects of the platform's store. */
type StoredState = {
	/** Decodes the configuration and puts it in force if its version is newer. */
	readonly applyConfiguration: (objects: readonly StoredObject[]) => void;
	/** Decodes the upstream list and passes it to `onUpstreamsChange`. */
	readonly applyUpstreams: (objects: readonly StoredObject[], confirmedAt: number | undefined, epoch: number) => void;
	/**
	Decodes desired weights and records those that are newer.

	@param confirmedAt - When the store had last responded before these objects arrived; `undefined` when it never had.
	@param isPrompt - Whether they arrived as they were written.
	*/
	readonly applyWeights: (objects: readonly StoredObject[], confirmedAt: number | undefined, epoch: number, isPrompt: boolean) => void;
	/** Returns the version of a stored configuration; `undefined` when it can't be decoded. */
	readonly getConfigurationVersion: (object: StoredObject) => number | undefined;
	/** Returns the version of stored desired weights; `undefined` when they can't be decoded. */
	readonly getWeightsVersion: (object: StoredObject) => number | undefined;
	/** Returns the configuration in force; `undefined` before the first one. */
	readonly state: () => IndexedConfiguration | undefined;
	/** Returns a service of the configuration in force; `undefined` when there is none of that name. */
	readonly findService: (name: string) => Service | undefined;
	/** Returns the smallest objective of the routes to a service that have a higher priority than `route`, in milliseconds. */
	readonly findUrgentObjectiveMs: (route: Route, service: string) => number | undefined;
	/** Returns the rules by which workspaces share KV cache, by the configuration in force. */
	readonly kvSharing: () => KvSharingState;
	/** Returns the newest desired weights of each model. */
	readonly weights: () => readonly DesiredWeights[];
	/** Returns all desired weights that this host has received, oldest first. */
	readonly desiredWeightsHistory: () => readonly DesiredWeights[];
	/** Returns the first received desired weights newer than `version`; `undefined` when there are none. */
	readonly findNewerWeights: (model: string, version: number) => DesiredWeights | undefined;
};

/** Creates the decoded state of stored objects. Versions only increase; an object that can't be decoded is logged and ignored. */
export function createStoredState(
	adapter: Pick<GatewayAdapter, 'decodeConfiguration' | 'decodeUpstream' | 'decodeWeights'>,
	{onServicesChange, onUpstreamsChange}: StoredStateListener,
	{suspendAware: now, monotonic}: Clocks,
	weightAges: Pick<WeightAges, 'recordFound'>,
): StoredState {
	const decodeConfiguration = memoizeWeakly(adapter.decodeConfiguration);
	const decodeWeights = memoizeWeakly(adapter.decodeWeights);
	let state: IndexedConfiguration | undefined;
	let kvSharing: KvSharingState = {...createKvSharing(), contentVersion: 0, groupSince: Number.NEGATIVE_INFINITY};
	let services: ReadonlyMap<string, Service> = new Map();
	const weights = new Map<string, DesiredWeights>();
	const history: DesiredWeights[] = [];
	const logInvalidWeights = createInvalidEntryLog('weights');
	const logInvalid = createInvalidEntryLog('upstreams');
	const decodeUpstream = memoizeWeakly((object: StoredObject) => adapter.decodeUpstream(object, fault => {
		logInvalid(object.name, fault);
	}));
	const getStart = (value: unknown): number | undefined => adapter.decodeUpstream({
		name: '', epoch: 0, revision: 0, value,
	})?.startedAt;
	const filterRemoved = createRemovedEntryFilter({isSameStart: (a, b) => getStart(a) === getStart(b), now: monotonic});

	const dateColdness = createColdnessDater({suspendAware: now, monotonic});

	return {
		applyConfiguration(objects) {
			for (const {value, revision} of objects) {
				const configuration = decodeConfiguration(value);
				if (!configuration) {
					log.warn({revision}, 'configuration cannot be decoded, the one in force stays');
				} else if (configuration.version > (state?.configuration.version ?? -1)) {
					const indexed = indexConfiguration(configuration);
					const groupSince = state && state.kvSharing.group === indexed.kvSharing.group ? kvSharing.groupSince : monotonic();
					state = indexed;
					kvSharing = {...indexed.kvSharing, contentVersion: configuration.version, groupSince};
					services = new Map(configuration.services.map(service => [service.name, service]));
					onServicesChange(configuration.services);
					log.info({
						version: configuration.version, revision, routes: configuration.routes.length, services: configuration.services.length,
					}, 'configuration in force');
				}
			}
		},
		applyUpstreams(objects, confirmedAt, epoch) {
			const upstreams: Upstream[] = [];
			for (const object of filterRemoved(objects, epoch)) {
				const upstream = decodeUpstream(object);
				if (upstream) {
					upstreams.push(dateColdness(upstream, object, confirmedAt));
				}
			}

			onUpstreamsChange(upstreams);
		},
		getConfigurationVersion: ({value}) => decodeConfiguration(value)?.version,
		getWeightsVersion: ({value}) => decodeWeights(value)?.version,
		applyWeights(objects, confirmedAt, _epoch, isPrompt) {
			const contentVersion = objects.reduce((sum, {value}) => sum + (decodeWeights(value)?.version ?? 0), 0);
			for (const {value, name: entry, revision} of objects) {
				const decoded = decodeWeights(value);
				if (!decoded) {
					logInvalidWeights(entry, 'not the weights of a model');
				} else if (decoded.version > (weights.get(decoded.model)?.version ?? 0)) {
					const desired = {
						...decoded, contentVersion, supersededAt: estimateSupersededAt(now(), confirmedAt),
					};
					weights.set(decoded.model, desired);
					weightAges.recordFound(decoded.model, decoded.version, {confirmedAt, isPrompt});
					history.push(desired);
					log.info({
						model: decoded.model, version: decoded.version, revision, isPrompt, confirmedAgeMs: confirmedAt !== undefined && Number.isFinite(confirmedAt) ? Math.round(now() - confirmedAt) : 'never',
					}, 'weights named');
				}
			}
		},
		state: () => state,
		kvSharing: () => kvSharing,
		findService: name => services.get(name),
		findUrgentObjectiveMs(route, service) {
			const objectivesMs = [...state?.objectivesByService.get(service) ?? []].filter(([priority]) => priority < route.priority).map(([, objectiveMs]) => objectiveMs);
			return objectivesMs.length > 0 ? Math.min(...objectivesMs) : undefined;
		},
		weights: () => [...weights.values()],
		desiredWeightsHistory: () => history,
		findNewerWeights: (model, version) => history.find(desired => desired.model === model && desired.version > version),
	};
}
