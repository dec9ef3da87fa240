import {createGarbageLimiter} from '../util/create-garbage-limiter.js';

/** The collection takes 1 to 3 ms, so 8 MiB cost less than their transfer does. */
const collectedBytes = 8 * 1024 * 1024;

/** Counts bytes of bodies that were read from sockets, in this process. */
export const countReadBytes = createGarbageLimiter(collectedBytes);
