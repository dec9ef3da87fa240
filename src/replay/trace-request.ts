import {type TraceEvent} from './trace-event.js';

/** A request of a trace. */
export type TraceRequest = Extract<TraceEvent, {readonly kind: 'request'}>;
