/** A piece of a prompt. */
export type PromptPiece = {
	/** Hash of parent, text, workspace, model, adapter and weight version. */
	readonly key: string;
	readonly tokens: number;
	/** Whether it has the full length; only such pieces are kept. */
	readonly isWhole: boolean;
};
