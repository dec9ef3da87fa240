import {type ClaimBatch, type WireClaim} from './claim-batch.js';
import {type ClaimMessage} from './claim-message.js';

/** Ends of prefills and requests wait this long for a claim to the same host, with which they share a datagram. */
const maxDelayMs = 10;

/** What is to be sent to a host. */
type Pending = {
	readonly address: string;
	readonly claims: WireClaim[];
	readonly notes: WireClaim[];
	readonly answered: number[];
	readonly ended: number[];
};

/** Dependencies of the outbox. */
type ClaimOutboxOptions = {
	/** Name of this host. */
	readonly self: string;
	/** Number of the first claim; those of an earlier run of this host are lower. */
	readonly firstNumber: number;
	readonly send: (message: ClaimMessage, address: string) => void;
	/** Runs a function after a time in milliseconds. */
	readonly after: (run: () => void, ms: number) => void;
	/** Runs a function after the input that has already arrived. */
	readonly defer: (run: () => void) => void;
};

/** Creates the outbox of claims: those that fall due at once go to a host in one datagram, and one timer serves all hosts. */
export function createClaimOutbox({self, firstNumber, send, after, defer}: ClaimOutboxOptions) {
	const pending = new Map<string, Pending>();
	/** Numbers of the claims held at each host, ascending. */
	const open = new Map<string, Set<number>>();
	let nextNumber = firstNumber;
	let isTimed = false;
	let isDeferred = false;

	const flush = (): void => {
		const all = [...pending];
		pending.clear();
		for (const [host, {address, claims, notes, answered, ended}] of all) {
			const [lowest = nextNumber] = open.get(host) ?? [];
			const batch: ClaimBatch = {
				h: self, m: lowest,
				c: claims.length > 0 ? claims : undefined,
				n: notes.length > 0 ? notes : undefined,
				a: answered.length > 0 ? answered : undefined,
				e: ended.length > 0 ? ended : undefined,
			};
			send({claims: batch}, address);
			if (open.get(host)?.size === 0) {
				open.delete(host);
			}
		}
	};

	const find = (host: string, address: string): Pending => {
		const known = pending.get(host);
		if (known) {
			return known;
		}

		const added = {
			address, claims: [], notes: [], answered: [], ended: [],
		};
		pending.set(host, added);
		return added;
	};

	const flushSoon = (): void => {
		if (!isDeferred) {
			isDeferred = true;
			defer(() => {
				isDeferred = false;
				flush();
			});
		}
	};

	const flushLater = (): void => {
		if (!isTimed) {
			isTimed = true;
			after(() => {
				isTimed = false;
				flush();
			}, maxDelayMs);
		}
	};

	return {
		takeNumber: (): number => nextNumber++,
		claim(host: string, address: string, claim: WireClaim, isAnswered: boolean): void {
			const numbers = open.get(host) ?? new Set<number>();
			open.set(host, numbers);
			numbers.add(claim[0]);
			const to = find(host, address);
			(isAnswered ? to.claims : to.notes).push(claim);
			flushSoon();
		},
		recordAnswered(host: string, address: string, number: number): void {
			find(host, address).answered.push(number);
			flushLater();
		},
		end(host: string, address: string, number: number): void {
			open.get(host)?.delete(number);
			const to = find(host, address);
			const unsentAt = to.notes.findIndex(([unsent]) => unsent === number);
			if (unsentAt === -1) {
				to.ended.push(number);
				flushLater();
			} else {
				// Ends are read before claims, so one in the same datagram would come too early.
				to.notes.splice(unsentAt, 1);
			}
		},
	};
}
