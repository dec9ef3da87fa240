/** Streams of one service that one software version began. */
export type StreamGroup = {
	readonly service: string;
	readonly version: string;
	/** Ids of the requests whose responses brought the first events. */
	readonly ids: readonly string[];
};
