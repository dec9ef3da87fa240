import {z} from 'zod';
import {cacheStoreSchema} from './cache-store-schema.js';
import {upstreamSchema} from './upstream-schema.js';

const weight = z.number().min(0.01, 'weight must be between 0.01 and 1000').max(1000, 'weight must be between 0.01 and 1000');

const workspaceSchema = z.strictObject({
	name: z.string().min(1),
	weight: weight.default(1),
	/** SHA-256 of each bearer key, in hexadecimal. */
	keys: z.array(z.string().regex(/^[\da-f]{64}$/v, 'must be a SHA-256 in hexadecimal')).min(1),
}).readonly();

const limitsSchema = z.strictObject({
	deadlineMs: z.int().min(10).max(3_600_000).default(30_000),
	/** Maximum number of requests in the queue of one engine. */
	queued: z.int().min(1).default(200),
	/** Retries and resumptions, as a share of first attempts. */
	retryShare: z.number().min(0).max(0.1).default(0.1),
	maxTokens: z.int().min(1).default(4096),
}).prefault({}).readonly();

const common = {
	service: z.string().regex(/^[a-z][a-z\d\-]*$/v, 'must be lower-case letters, digits and hyphens'),
	weight: weight.default(1),
	workspaces: z.array(workspaceSchema).min(1),
	limits: limitsSchema,
	upstreams: z.array(upstreamSchema).min(1),
};

/** Schema of a service that model engines run. */
const modelSchema = z.strictObject({
	...common,
	kind: z.literal('model'),
	/** Name of the engine pool; a pool belongs to one service. */
	pool: z.string().min(1),
	models: z.array(z.strictObject({
		name: z.string().min(1),
		version: z.string().min(1),
		adapter: z.string().optional(),
	}).readonly()).min(1),
	/** Weights of the routing score: per second until the first token, per 1000 recomputed tokens, and per 1e9 bytes over the store link. */
	cost: z.strictObject({
		firstToken: weight.default(1),
		recomputed: z.number().min(0).max(1000).default(0.1),
		link: z.number().min(0).max(1000).default(0.1),
	}).prefault({}).readonly(),
	/** Length of a prompt piece, in characters; a token has about four. */
	pieceCharacters: z.int().min(64).default(4000),
	/** Size of the KV cache of a piece, in bytes. */
	pieceBytes: z.int().min(1).default(64_000_000),
	stores: z.array(cacheStoreSchema).default([]),
	/** Maximum number of concurrent weight loads in a failure domain. */
	concurrentLoads: z.int().min(1).default(2),
});

/** Schema of a plain service. */
const plainSchema = z.strictObject({
	...common,
	kind: z.literal('plain'),
	routes: z.array(z.strictObject({
		path: z.string().startsWith('/'),
		method: z.enum(['GET', 'POST', 'PUT', 'DELETE']),
		repeatable: z.boolean(),
	}).readonly()).min(1),
	/** How long the response to a request with an idempotency key is replayed; the key itself never expires. */
	answerHours: z.number().positive().default(72),
});

/** Schema of a service file. */
export const serviceSchema = z.discriminatedUnion('kind', [modelSchema, plainSchema]).readonly();
