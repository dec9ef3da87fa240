import {z} from 'zod';

const measure = z.enum(['p50', 'p95', 'p99', 'recomputedShare', 'linkUse', 'keptCost', 'goodput', 'refusedShare']);

/** Schema of a file of stated outcomes: what a measure of a policy has to be, as a number or against another policy. */
export const expectationSchema = z.array(z.strictObject({
	policy: z.string(),
	measure,
	/** Service or workspace (`service/workspace`) whose p95 or refused share is meant; the whole run when absent. */
	of: z.string().optional(),
	atMost: z.number().optional(),
	atLeast: z.number().optional(),
	/** At most the same measure of this policy. */
	notAbove: z.string().optional(),
}));
