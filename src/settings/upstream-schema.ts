import {z} from 'zod';

/** Schema of an upstream in a service file. */
export const upstreamSchema = z.strictObject({
	name: z.string().min(1),
	domain: z.string().min(1),
	url: z.url(),
	/** Requests run at once. */
	slots: z.int().min(1).max(4096).default(8),
	/** Prefill speed in tokens a second, for the estimate of the first token's time. */
	prefillTokensPerS: z.number().positive().default(20_000),
	/** Refuses orders with an old fencing number. */
	checksOrders: z.boolean().default(false),
	/** Answers a known idempotency key without another run. */
	checksKeys: z.boolean().default(false),
	leaving: z.boolean().default(false),
}).readonly();
