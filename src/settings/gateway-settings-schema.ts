import {z} from 'zod';
import {defaultPaceSettings} from '../decide/pace/default-pace-settings.js';
import {addressSchema} from './address-schema.js';

/** Schema of a number that the platform may leave out; `defaultValue` then applies. */
const numberOrDefault = (defaultValue: number) => z.number().nullish().transform(value => value ?? defaultValue);

/** Schema of a gateway host's settings file. Times are in milliseconds unless the name has another unit. */
export const gatewaySettingsSchema = z.strictObject({
	name: z.string().min(1),
	domain: z.string().min(1),
	region: z.string().min(1),
	/** Address for callers. */
	callers: addressSchema,
	/** Address of the readiness check, by which the balancer learns whether this host accepts new connections. */
	readiness: addressSchema,
	/** Address for other hosts. */
	peers: addressSchema,
	/** UDP address for load reports of other hosts. */
	reports: addressSchema,
	/** Peer addresses to contact while the object store can't be reached; they may be stale. */
	seeds: z.array(addressSchema).default([]),
	/** Bandwidth of this host's link, in Mbit/s; hosts with more bandwidth take on more of the shared tasks. */
	linkMbps: numberOrDefault(1000),
	metricsPort: z.int().min(0).max(65_535),
	/** Address of the platform's object store. */
	objectStore: addressSchema,
	/** How requests are placed. All hosts should have the same. */
	placement: z.strictObject({
		/** Whether hosts claim places at upstreams where load reports are too old for the load. */
		claims: z.boolean().nullish().transform(value => value ?? false),
	}).prefault({}),
	/** Limits of the machine, and what callers may take of it. */
	limits: z.strictObject({
		/** Memory for this process; by default 5/3 of the limit of its heap. */
		memoryMb: z.number().positive().nullish().transform(value => value ?? undefined),
		/** Share of each core that this process gets, and the number of cores; by default one whole core. */
		cpuShare: z.number().positive().nullish().transform(value => value ?? undefined),
		cores: z.number().positive().nullish().transform(value => value ?? undefined),
		/** File descriptors for this process; by default what the system allows. */
		maxFds: z.number().positive().nullish().transform(value => value ?? undefined),
		/** Least rate of a request's body over its whole time, once the configured idle timeout has passed. */
		minBodyBytesPerS: numberOrDefault(8192),
	}).prefault({}),
	/** Limits and times that the deployment requires. */
	bounds: z.strictObject({
		retryRatio: numberOrDefault(0.2),
		retryWindowS: numberOrDefault(10),
		/** Retries allowed in a window in addition to the ratio, for all hosts together. */
		retrySlack: numberOrDefault(20),
		/** Time from the stop signal until the process is killed. */
		graceS: numberOrDefault(8),
		/** Time after which another host may take over a lease that was not renewed. */
		leaseMs: numberOrDefault(3000),
		/** Time after a change of the desired weights by which no request may start on older ones. */
		versionMs: numberOrDefault(12_000),
		/** Requests that may reach a cold upstream in one second: what it tolerates times `coldOvershoot`, plus `coldSlack`. */
		coldOvershoot: numberOrDefault(1.5),
		coldSlack: numberOrDefault(5),
		/** Time after an evacuation was acknowledged from which nothing more may be sent there; without it, none are looked for. */
		evacuateMs: z.number().nullish().transform(value => value ?? undefined),
	}).prefault({}),
	/** Set where requests to upstreams that start, come back or slow down are limited by how these answer. */
	pace: z.strictObject({
		/** Share of an upstream's slots that may be in flight, from all hosts together, when it has just started. */
		initialShare: numberOrDefault(defaultPaceSettings.initialShare).pipe(z.number().gt(0).max(1)),
		/** An answer is slow when it takes this many times as long as answers of warm upstreams. */
		slowFactor: numberOrDefault(defaultPaceSettings.slowFactor).pipe(z.number().gt(1)),
		/** The limit doubles after this time without a slow answer or a failure. */
		quietMs: numberOrDefault(defaultPaceSettings.quietMs).pipe(z.number().gt(0)),
	}).optional(),
}).readonly();
