import {type ReportedPace} from '../decide/pace/reported-pace.js';
import {type WirePace} from './wire-pace.js';

/** Decodes limits on requests in flight. */
export function decodePaces(paces: readonly WirePace[]): readonly ReportedPace[] {
	return paces.map(([id, startedAt, setbacks, limit, onTime, slow]) => ({
		id, startedAt: startedAt ?? undefined, setbacks, limit, onTime, slow,
	}));
}
