/** An IP address and TCP port. */
export type Address = {
	readonly host: string;
	readonly port: number;
};
