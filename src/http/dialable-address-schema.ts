import {z} from 'zod';
import {isAddress} from './is-address.js';

/** Schema of the address of another process, as an entry of the store states it. */
export const dialableAddressSchema = z.string().refine(isAddress, 'not an address that can be dialled');
