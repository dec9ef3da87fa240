import {createColdness} from '../decide/cold/create-coldness.js';
import {type Service} from '../forwarding/service.js';
import {type Upstream} from '../forwarding/upstream.js';
import {log} from '../observe/log.js';
import {type ColdGate} from './cold-gate.js';

/** A permit that is not used within this time is lost, so that permits of one second are not used together in another one. */
const permitValidMs = 150;
/** How long an upstream is cold after a start where the configuration does not say. */
const defaultColdStartMs = 10_000;

/** Creates the gate of one start of an upstream. */
export function createColdGate({id, startedAt, service}: Pick<Upstream, 'id' | 'startedAt' | 'service'>, findService: () => Pick<Service, 'coldPerS' | 'coldStartMs'> | undefined): ColdGate {
	const coldness = createColdness();
	/** Until when each permit holds. */
	let permits: number[] = [];
	let closedUntil = Number.NEGATIVE_INFINITY;
	let wasCold = false;

	const forMs = (now: number): number => {
		const {coldPerS, coldStartMs = defaultColdStartMs} = findService() ?? {};
		const coldForMs = coldPerS === undefined ? 0 : coldness.forMs(now, coldStartMs);
		const isCold = coldForMs > 0;
		if (isCold !== wasCold) {
			wasCold = isCold;
			log.info({
				upstream: id, service, startedAt, coldPerS, coldForMs: Math.round(coldForMs),
			}, isCold ? 'upstream is cold' : 'upstream is warm');
		}

		return coldForMs;
	};

	return {
		...coldness,
		forMs,
		perS: now => forMs(now) > 0 ? findService()?.coldPerS : undefined,
		grant(now) {
			permits.push(now + permitValidMs);
		},
		take(now) {
			if (forMs(now) === 0) {
				permits = [];
				return true;
			}

			permits = permits.filter(until => until >= now);
			return permits.shift() !== undefined;
		},
		closeUntil(at) {
			closedUntil = Math.max(closedUntil, at);
		},
		closedForMs: now => forMs(now) > 0 ? Math.max(0, closedUntil - now) : 0,
	};
}
