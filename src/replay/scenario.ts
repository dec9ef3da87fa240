import {type scenarios} from './scenarios.js';

/** Load pattern or fault of a generated trace. */
export type Scenario = (typeof scenarios)[number];
