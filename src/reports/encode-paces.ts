import {type ReportedPace} from '../decide/pace/reported-pace.js';
import {type WirePace} from './wire-pace.js';

/** Encodes limits without field names: while a third of the upstreams starts, they are a good part of each report. */
export function encodePaces(paces: readonly ReportedPace[]): readonly WirePace[] {
	return paces.map(({id, startedAt, setbacks, limit, onTime, slow}) => [id, startedAt ?? null, setbacks, limit, onTime, slow]);
}
