/** The response in which an upstream said something of itself. */
export type AnnouncedIn = {
	/** When its request was sent. */
	readonly askedAt: number;
	readonly requestId: string | undefined;
	/** Whether the response carries the upstream's signature. */
	readonly isSigned: boolean;
};
