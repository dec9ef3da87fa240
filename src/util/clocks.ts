/**
The clocks of a host, in milliseconds. Which one a bound takes depends on the side to which it may be wrong; clocks of different hosts are
never compared.
*/
export type Clocks = {
	/**
	For what this host itself may do: a lease that it holds, its permission to read, the age of what it knows. It also advances while the machine is
	suspended and when the wall clock is set forward, so it may run ahead: such a right may end early, never late.
	*/
	readonly suspendAware: () => number;
	/**
	For waits for others: memory that they may still read, a lease that they may still hold, a restarted store. It never runs ahead: such a wait may end
	late, never early.
	*/
	readonly monotonic: () => number;
};
