import {type errorKinds} from './error-kinds.js';

/** One entry of the closed list of error kinds. */
export type ErrorKind = (typeof errorKinds)[number];
