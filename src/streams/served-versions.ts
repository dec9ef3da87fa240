import {z} from 'zod';

/** Schema of the software versions that serve, as they lie in the platform's store; `until`, in Unix milliseconds, is set once a version is no longer listed. */
export const servedVersionsSchema = z.object({
	versions: z.array(z.object({service: z.string(), version: z.string(), until: z.number().optional()})),
});
