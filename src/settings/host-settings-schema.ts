import {z} from 'zod';
import {addressSchema} from './address-schema.js';

/** Schema of a host's settings file. Times are in milliseconds, sizes in bytes. */
export const hostSettingsSchema = z.strictObject({
	name: z.string().min(1),
	region: z.string().min(1),
	domain: z.string().min(1),
	callers: addressSchema,
	peers: addressSchema,
	operators: addressSchema,
	platform: z.url(),
	/** Peer addresses to contact while the platform's host list can't be read. */
	seeds: z.array(addressSchema).default([]),
	tls: z.strictObject({key: z.string(), certificate: z.string(), authority: z.string()}).optional(),
	limits: z.strictObject({
		bodyBytes: z.int().min(1).default(4 * 1024 * 1024),
		headerBytes: z.int().min(1024).default(16 * 1024),
		connections: z.int().min(1).default(4000),
		bodyMs: z.int().min(1).default(10_000),
	}).prefault({}),
	/** How long new requests are still accepted after the host has announced that it leaves. */
	drainMs: z.int().min(0).default(5000),
	/** Write a trace of requests, without prompt text, to this file. */
	trace: z.string().optional(),
}).readonly();
