import {type CheckedConfiguration} from './checked-configuration.js';
import {type ConfigurationFinding} from './configuration-finding.js';

/** Finds routes, services and workspaces whose name another one of the same list has. */
export function findRepeatedNames(configuration: CheckedConfiguration): readonly ConfigurationFinding[] {
	return (['routes', 'services', 'workspaces'] as const).flatMap(list => {
		const names = (configuration[list] ?? []).map(({name}) => name);
		return names.flatMap((name, index): readonly ConfigurationFinding[] => names.indexOf(name) === index
			? []
			: [{category: 'error', path: [list, index, 'name'], message: `the name ${name} is already in use`}]);
	});
}
