import {type errorKinds} from './error-kinds.js';

/** Kind of an error response to a caller. */
export type ErrorKind = (typeof errorKinds)[number];
