import {type PaceSettings} from './pace-settings.js';

/** Settings of the pace that apply where a deployment states none. */
export const defaultPaceSettings: PaceSettings = {initialShare: 0.125, slowFactor: 2, quietMs: 2000};
