import {z} from 'zod';

/** Schema of a cache store in a service file. */
export const cacheStoreSchema = z.strictObject({
	name: z.string().min(1),
	domain: z.string().min(1),
	url: z.url(),
	/** Speed of the store's link in bytes a second. */
	linkBytesPerS: z.number().positive(),
	/** Most bytes that one workspace may hold. */
	workspaceBytes: z.number().positive().default(64e9),
}).readonly();
