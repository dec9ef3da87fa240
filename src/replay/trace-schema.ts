import {z} from 'zod';

const at = z.number().min(0);
const service = z.string();
const count = z.int().min(0);

/** Schema of a trace line. */
export const traceSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('deployment'),
		name: z.string(),
		hosts: z.int().min(1),
		delayMs: z.number().min(0),
		services: z.array(z.strictObject({
			name: z.string(),
			weight: z.number().positive(),
			engines: z.int().min(1),
			slots: z.int().min(1),
			prefillTokensPerS: z.number().positive(),
			stepMs: z.number().positive(),
			stepAddedMs: z.number().min(0),
			cachePieces: count,
			pieceTokens: z.int().min(1),
			pieceBytes: z.number().positive(),
			linkBytesPerS: z.number().positive(),
			memoryPieces: count,
			diskPieces: count,
			deadlineMs: z.number().positive(),
			queueLimit: z.int().min(1),
			cost: z.strictObject({firstToken: z.number(), recomputed: z.number(), link: z.number()}),
			workspaces: z.array(z.strictObject({name: z.string(), weight: z.number().positive()})).min(1),
		})).min(1),
	}),
	z.strictObject({
		kind: z.literal('request'), at, service, workspace: z.string(), context: z.string(), pieces: count, tailTokens: count, outputTokens: z.int().min(1),
	}),
	z.strictObject({
		kind: z.literal('engine'), at, service, engine: count, isUp: z.boolean(),
	}),
	z.strictObject({
		kind: z.literal('link'), at, service, factor: z.number().positive(),
	}),
	z.strictObject({
		kind: z.literal('store'), at, service, pieces: count,
	}),
	z.strictObject({
		kind: z.literal('version'), at, service, version: z.string(),
	}),
]);
