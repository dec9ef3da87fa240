import {z} from 'zod';

/** Schema of a slice of a host's begun streams, as it lies in the platform's store: when it was begun, in Unix milliseconds, and the ids by service and version. */
export const archivedStreamsSchema = z.object({
	at: z.number(),
	groups: z.array(z.object({service: z.string(), version: z.string(), ids: z.array(z.string())})),
});
