import {type ServiceSettings} from './service-settings.js';

/** A service file that has passed its own checks. */
export type ServiceFile = {
	readonly file: string;
	readonly text: string;
	readonly service: ServiceSettings;
};
