import {z} from 'zod';
import {addressSchema} from './address-schema.js';

/** A figure that the platform may leave out. */
const numberOrDefault = (defaultValue: number) => z.number().nullish().transform(value => value ?? defaultValue);

/** Schema of a gateway host's settings file. Times are in milliseconds where a name does not say otherwise. */
export const gatewaySettingsSchema = z.strictObject({
	name: z.string().min(1),
	domain: z.string().min(1),
	region: z.string().min(1),
	/** Address for callers. */
	callers: addressSchema,
	/** Address at which the balancer asks whether this host takes new connections. */
	readiness: addressSchema,
	/** Address for other hosts. */
	peers: addressSchema,
	/** Address at which other hosts' load reports arrive, as datagrams. */
	reports: addressSchema,
	/** Peers' addresses to ask where the store can't be reached; they may be stale. */
	seeds: z.array(addressSchema).default([]),
	/** Bandwidth of this host's own link, in Mbit/s; hosts with more of it do more for the others. */
	linkMbps: numberOrDefault(1000),
	metricsPort: z.int().min(0).max(65_535),
	/** Address of the platform's store. */
	objectStore: addressSchema,
	/** Figures that the deployment holds the system to. */
	bounds: z.strictObject({
		retryRatio: numberOrDefault(0.2),
		retryWindowS: numberOrDefault(10),
		/** Retries in a window beyond the ratio, for all hosts together. */
		retrySlack: numberOrDefault(20),
		/** Time from the signal to stop until the process is killed. */
		graceS: numberOrDefault(8),
		/** Time after which a lease that was not renewed may be taken over. */
		leaseMs: numberOrDefault(3000),
		/** Time after a naming of weights by which no request begins on older ones. */
		versionMs: numberOrDefault(12_000),
	}).prefault({}),
}).readonly();
