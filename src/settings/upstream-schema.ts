import {z} from 'zod';

/** Schema of an upstream in a service file. */
export const upstreamSchema = z.strictObject({
	name: z.string().min(1),
	domain: z.string().min(1),
	url: z.url(),
	/** Maximum number of requests that run concurrently. */
	slots: z.int().min(1).max(4096).default(8),
	/** Prefill speed in tokens per second, to estimate the time to first token. */
	prefillTokensPerS: z.number().positive().default(20_000),
	/** Whether the upstream refuses orders with an outdated fencing token. */
	checksOrders: z.boolean().default(false),
	/** Whether the upstream returns the earlier response for a known idempotency key, without another run. */
	checksKeys: z.boolean().default(false),
	leaving: z.boolean().default(false),
}).readonly();
