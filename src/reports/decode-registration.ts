import {z} from 'zod';
import {dialableAddressSchema} from '../http/dialable-address-schema.js';
import {describeFault} from '../util/describe-fault.js';
import {type HostStatus} from './host-status.js';

/** The registration of a host in the object store. */
export type Registration = Pick<HostStatus, 'host' | 'domain' | 'peers' | 'reports' | 'linkMbps'>;

const registrationSchema = z.object({
	host: z.string().min(1), domain: z.string(), peers: dialableAddressSchema, reports: dialableAddressSchema, linkMbps: z.number(),
});

/** Decodes the registration of a host; calls `onFault` and returns `undefined` when it is invalid. */
export function decodeRegistration(value: unknown, onFault: (fault: string) => void): Registration | undefined {
	const parsed = registrationSchema.safeParse(value);
	if (!parsed.success) {
		onFault(describeFault(parsed.error));
	}

	return parsed.data;
}
