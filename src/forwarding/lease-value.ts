import {z} from 'zod';

/** Far above the tokens of any deployment, and far below the numbers that can't be counted up. */
const maxToken = 2 ** 48;

/** Value of the lease object in the store. */
export const leaseValueSchema = z.object({
	/** Name of the holder's host. */
	holder: z.string(),
	/** Id of the holder's process; distinguishes two runs of one host. */
	run: z.string(),
	/** Fencing token, which grows with each change of holder. */
	token: z.number().int().min(0).max(maxToken),
	/** Whether the holder has released the lease, which it does no sooner than the lease time after its last order. */
	isReleased: z.boolean(),
	/** Number of the holder's writes; without it a renewal would write an unchanged value, which keeps the object's revision. */
	renewals: z.number(),
	/** Epoch of the store in which the lease was written; absent when it was written by an earlier build. */
	epoch: z.number().optional(),
});
