/** Wraps `compute` so that it reuses its last result while the argument is the same object. */
export function memoizeLast<A extends object, R>(compute: (argument: A) => R): (argument: A) => R {
	let lastCall: {readonly argument: A; readonly result: R} | undefined;
	return argument => {
		if (lastCall?.argument !== argument) {
			lastCall = {argument, result: compute(argument)};
		}

		return lastCall.result;
	};
}
