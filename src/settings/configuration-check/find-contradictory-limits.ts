import {type CheckedConfiguration} from './checked-configuration.js';
import {type ConfigurationFinding} from './configuration-finding.js';

/** What the configuration itself does not say; absent where the operator did not state it. */
type Surroundings = {
	/** Memory of a host's machine. */
	readonly memoryMb?: number | undefined;
	/** Number of upstreams by service. */
	readonly upstreamCounts?: ReadonlyMap<string, number>;
};

const bytesPerMb = 1_000_000;

const toFinding = (path: ConfigurationFinding['path'], message: string): ConfigurationFinding => ({category: 'contradiction', path, message});

/** Finds limits of a configuration that contradict each other, the machines or the number of upstreams. */
export function findContradictoryLimits(configuration: CheckedConfiguration, {memoryMb, upstreamCounts}: Surroundings): readonly ConfigurationFinding[] {
	const {routes, limits, coldStarts} = configuration;
	return [
		...routes.flatMap(({pathPrefix, timeoutMs, objectiveMs, maxAttempts, targets}, index) => [
			...(pathPrefix.startsWith('/') ? [] : [toFinding(['routes', index, 'pathPrefix'], 'the prefix must begin with a slash; it matches no path')]),
			...(pathPrefix.endsWith('/') ? [] : [toFinding(['routes', index, 'pathPrefix'], 'the prefix must end with a slash; it matches parts of longer names too')]),
			...(timeoutMs < objectiveMs ? [toFinding(['routes', index, 'timeoutMs'], `the time-out of ${timeoutMs} ms is below the objective of ${objectiveMs} ms`)] : []),
			...targets.flatMap(({service}) => maxAttempts > (upstreamCounts?.get(service) ?? Number.POSITIVE_INFINITY)
				? [toFinding(['routes', index, 'maxAttempts'], `${maxAttempts} attempts, but service ${service} has ${upstreamCounts!.get(service)} upstreams`)]
				: []),
		]),
		...coldStarts.flatMap(({coldStartS = 0, coldPerS}, index) => [
			...(coldPerS !== undefined && coldPerS > 0 && coldStartS === 0 ? [toFinding(['services', index, 'coldPerS'], 'a rate for cold upstreams, but no time for which they are cold')] : []),
			// A stated rate of 0 means that there is deliberately no limit.
			...(coldStartS > 0 && coldPerS === undefined ? [toFinding(['services', index, 'coldStartS'], 'a time for which upstreams are cold, but no rate for cold ones')] : []),
		]),
		...(limits.bodyBytes > (memoryMb ?? Number.POSITIVE_INFINITY) * bytesPerMb
			? [toFinding(['limits', 'bodyBytes'], `a body of ${limits.bodyBytes} bytes does not fit into the ${memoryMb} MB of a machine`)]
			: []),
	];
}
