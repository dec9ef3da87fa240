import {type ServiceSettings} from './service-settings.js';

/** A service file that is valid on its own. */
export type ServiceFile = {
	readonly file: string;
	readonly text: string;
	readonly service: ServiceSettings;
};
