import {type GatewayAdapter} from '../../forwarding/gateway-adapter.js';
import {SettingsError} from '../../errors/settings-error.js';
import {UsageError} from '../../errors/usage-error.js';
import {formatPath} from '../format-path.js';
import {readJsonFile} from '../read-json-file.js';
import {type SettingsIssue} from '../settings-issue.js';
import {type ConfigurationFinding} from './configuration-finding.js';
import {findChanges} from './find-changes.js';
import {findContradictoryLimits} from './find-contradictory-limits.js';
import {findRepeatedNames} from './find-repeated-names.js';
import {findUnmatchedEntries} from './find-unmatched-entries.js';

/** A finding with its place in a file. */
type LocatedFinding = SettingsIssue & Pick<ConfigurationFinding, 'category'>;

type CheckOptions = {
	readonly adapter: Pick<GatewayAdapter, 'isConfiguration' | 'decodeConfiguration' | 'describeConfiguration'>;
	/** File of the configuration in force. */
	readonly against?: string | undefined;
	/** Memory of a host's machine. */
	readonly memoryMb?: number | undefined;
	/** Number of upstreams by service. */
	readonly upstreamCounts: ReadonlyMap<string, number>;
};

function readConfiguration(file: string, {isConfiguration, decodeConfiguration, describeConfiguration}: CheckOptions['adapter']) {
	const {value, lineOf} = readJsonFile(file);
	if (!isConfiguration(value)) {
		throw new SettingsError([{
			file, line: 1, path: '(root)', message: 'is no configuration',
		}]);
	}

	const locate = (path: readonly PropertyKey[], rest: Pick<LocatedFinding, 'category' | 'message'>): LocatedFinding => ({
		file, line: lineOf(path), path: formatPath(path), ...rest,
	});
	const faults: LocatedFinding[] = [];
	const decoded = decodeConfiguration(value, (path, message) => faults.push(locate(path, {category: 'error', message})));
	const {coldStarts, toWirePath, faults: replaced} = describeConfiguration(value);
	const reported = new Set(faults.map(({path}) => path));
	faults.push(...replaced.map(({path, message}) => locate(path, {category: 'error', message})).filter(({path}) => !reported.has(path)));
	return {
		configuration: decoded && {...decoded, coldStarts},
		faults,
		locate: ({path, category, message}: ConfigurationFinding) => locate(toWirePath(path), {category, message}),
	};
}

/**
Checks the file of a configuration before it is sent to the store, and compares it with the one in force.

@throws {SettingsError} When a file can't be read, is no JSON, or the one in force can't be decoded.
*/
export function checkConfigurationFile(file: string, options: CheckOptions): readonly LocatedFinding[] {
	const {adapter, against, memoryMb, upstreamCounts} = options;
	const inForce = against === undefined ? undefined : readConfiguration(against, adapter);
	if (inForce && !inForce.configuration) {
		throw new SettingsError(inForce.faults);
	}

	const {configuration, faults, locate} = readConfiguration(file, adapter);
	if (!configuration) {
		return faults;
	}

	for (const name of upstreamCounts.keys()) {
		if (configuration.services.every(service => service.name !== name)) {
			throw new UsageError(`--upstreams: there is no service ${name}`);
		}
	}

	const findings = [
		...findRepeatedNames(configuration),
		...findUnmatchedEntries(configuration),
		...findContradictoryLimits(configuration, {memoryMb, upstreamCounts}),
		...(inForce?.configuration ? findChanges(inForce.configuration, configuration) : []),
	];
	return [...faults, ...findings.map(finding => finding.isRemoved ? inForce!.locate(finding) : locate(finding))];
}
