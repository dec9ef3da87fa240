import {type scenarios} from './scenarios.js';

/** What happens in a made trace besides its requests. */
export type Scenario = (typeof scenarios)[number];
