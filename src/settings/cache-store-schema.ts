import {z} from 'zod';

/** Schema of a cache store in a service file. */
export const cacheStoreSchema = z.strictObject({
	name: z.string().min(1),
	domain: z.string().min(1),
	url: z.url(),
	/** Bandwidth of the store's link, in bytes per second. */
	linkBytesPerS: z.number().positive(),
	/** Maximum number of bytes stored for one workspace. */
	workspaceBytes: z.number().positive().default(64e9),
}).readonly();
