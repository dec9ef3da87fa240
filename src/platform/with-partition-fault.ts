import {PlatformUnavailableError} from '../errors/platform-unavailable-error.js';
import {type Platform} from './platform.js';

/** Wraps a platform client with a fault switch that simulates a partition between the host and the platform. */
export function withPartitionFault(platform: Platform, isPartitioned: () => boolean): Platform {
	const guard = <A extends readonly unknown[], R>(call: (...args: A) => Promise<R>) => async (...args: A): Promise<R> => {
		if (isPartitioned()) {
			throw new PlatformUnavailableError('cut off from the platform', 'no');
		}

		const result = await call(...args);
		if (isPartitioned()) {
			throw new PlatformUnavailableError('cut off from the platform', 'unknown');
		}

		return result;
	};

	return {
		read: guard(platform.read),
		write: guard(platform.write),
		watch: guard(platform.watch),
		list: guard(platform.list),
		hosts: guard(platform.hosts),
	};
}
