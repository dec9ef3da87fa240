import {type Deployment} from './deployment.js';

/** One line of a trace. It contains no prompt text. */
export type TraceEvent
	= | Deployment
		| {
			readonly kind: 'request';
			/** Time since the start of the trace, in milliseconds. */
			readonly at: number;
			readonly service: string;
			readonly workspace: string;
			/** Identifier of the context; a returning prompt has the same one, with at least as many pieces. */
			readonly context: string;
			/** Number of whole pieces of the prompt. */
			readonly pieces: number;
			/** Tokens after the last whole piece. */
			readonly tailTokens: number;
			readonly outputTokens: number;
		}
		| {readonly kind: 'engine'; readonly at: number; readonly service: string; readonly engine: number; readonly isUp: boolean}
	/** Sets the speed of a service's store link to `factor` times its configured speed. */
		| {readonly kind: 'link'; readonly at: number; readonly service: string; readonly factor: number}
	/** Sets the capacity of a service's KV store. */
		| {readonly kind: 'store'; readonly at: number; readonly service: string; readonly pieces: number}
	/** Switches a service to another weight version; KV caches of the old version are no longer used. */
		| {readonly kind: 'version'; readonly at: number; readonly service: string; readonly version: string};
