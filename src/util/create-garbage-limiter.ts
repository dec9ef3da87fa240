import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

type Collect = (options: {readonly type: 'minor'}) => void;

/**
Creates a counter of bytes that were read into buffers which are garbage soon. It collects young garbage after each `intervalBytes`: buffers lie outside of the
heap, so they hardly fill the young generation, and the runtime collects them only when 64 MB or more have gathered.

@returns Counts bytes.
*/
export function createGarbageLimiter(intervalBytes: number): (bytes: number) => void {
	let collect: Collect | undefined;
	let count = 0;
	return bytes => {
		count += bytes;
		if (count < intervalBytes) {
			return;
		}

		count = 0;
		if (!collect) {
			// At the start, the flag would make the stored code cache invalid.
			setFlagsFromString('--expose-gc');
			collect = runInNewContext('gc') as Collect;
		}

		collect({type: 'minor'});
	};
}
