import {type ResponseHead} from './response-head.js';

/**
How one send ended:
- `answered`: the caller has the whole answer;
- `not-run`: the upstream says that it did not run the request, or nothing was sent;
- `failed-answer`: the upstream answered with a whole failure of its own, not yet delivered;
- `broken`: no whole answer came and the request may have run.
*/
export type SendOutcome
	= | {readonly kind: 'answered'}
		| {readonly kind: 'not-run'; readonly reason: string; readonly head: ResponseHead | undefined; /** Whether it was given up from this side. */ readonly isGivenUp: boolean}
		| {readonly kind: 'failed-answer'; readonly head: ResponseHead; readonly body: Buffer}
		| {readonly kind: 'broken'; readonly reason: string; /** Whether it was given up from this side. */ readonly isGivenUp: boolean};
