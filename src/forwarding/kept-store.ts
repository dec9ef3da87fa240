import {type StoreDirectory} from '../decide/kept/store-directory.js';
import {type Service} from './service.js';

/** A store of kept context and what this host knows of it. */
export type KeptStore = {
	readonly name: string;
	readonly store: NonNullable<Service['store']>;
	readonly directory: StoreDirectory;
	readonly canSave: (tokens: number) => boolean;
};
