import {z} from 'zod';

/**
Schema of the software versions that serve, as they lie in the platform's store; `until`, in Unix milliseconds, is set once a version is no longer listed.
`epoch` is that of the store in which a host that had been there before last said that these are all; hosts of earlier builds leave it out.
*/
export const servedVersionsSchema = z.object({
	versions: z.array(z.object({service: z.string(), version: z.string(), until: z.number().optional()})),
	epoch: z.number().optional(),
});
