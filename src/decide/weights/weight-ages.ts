import {type WeightAge} from './weight-age.js';

/** How this host has found that a version became the desired one. Times are in milliseconds of the clock for its own rights (`Clocks`). */
type Finding = {
	/** When the platform's store last confirmed that it was not; `undefined` when it never did. */
	readonly confirmedAt: number | undefined;
	/** Whether this host has learned of the change as it was made. */
	readonly isPrompt: boolean;
};

/** For how long versions of weights have been the desired ones. */
export type WeightAges = {
	/** Records a version that this host has found in the platform's store, or has received from another host. */
	readonly recordFound: (model: string, version: number, finding: Finding) => void;
	/** Records an age that is known elsewhere: from another host, or from the record in the platform's store. */
	readonly recordStated: (age: WeightAge) => void;
	/**
	Returns for how long there have been newer weights than `version`, in milliseconds, at least: `undefined` while there are none, infinite
	when nobody could tell. That time is never reset by a restart, or by learning of the newer weights late.
	*/
	readonly getStaleForMs: (model: string, version: number) => number | undefined;
	/** The same, at most: by the clock for waits for others, and by versions whose age is known. */
	readonly getLeastStaleForMs: (model: string, version: number) => number | undefined;
	/** Returns the ages of all versions, for other hosts. */
	readonly list: () => readonly WeightAge[];
	/** Returns whether the age of some version newer than `version` is not known. */
	readonly isUnknown: (model: string, version: number) => boolean;
};
