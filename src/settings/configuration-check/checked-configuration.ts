import {type Configuration} from '../../object-store/configuration.js';
import {type ConfigurationDetails} from './configuration-details.js';

/** A decoded configuration with what only a check needs. */
export type CheckedConfiguration = Configuration & Pick<ConfigurationDetails, 'coldStarts'>;
