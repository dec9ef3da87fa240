import {z} from 'zod';

/** Schema of `IP:PORT`. */
export const addressSchema = z.string().regex(/^[\d.:a-fA-F\[\]]+:\d{1,5}$/v, 'must be IP:PORT');
