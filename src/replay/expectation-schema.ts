import {z} from 'zod';

const measure = z.enum(['p50', 'p95', 'p99', 'recomputedShare', 'linkUse', 'keptCost', 'goodput', 'refusedShare']);

/** Schema of an expectations file: bounds on a measure of a policy, as a number or relative to another policy. */
export const expectationSchema = z.array(z.strictObject({
	policy: z.string(),
	measure,
	/** Service or workspace (`service/workspace`) whose p95 or refused share is checked; the whole run when absent. */
	of: z.string().optional(),
	atMost: z.number().optional(),
	atLeast: z.number().optional(),
	/** Policy whose same measure is the upper bound. */
	notAbove: z.string().optional(),
}));
