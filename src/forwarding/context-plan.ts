import {type KeptPlan} from '../decide/kept/kept-plan.js';

/** A prompt at one engine: its scope there, and where its parts come from and go to. */
export type ContextPlan = KeptPlan & {
	readonly scope: string;
	/** Notes that the request is sent as planned. */
	readonly noteSent: () => void;
};
