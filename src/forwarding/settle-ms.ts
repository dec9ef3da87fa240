/** A host that has started leaves what few hosts do for all to the others for this long, in which it hears who they are; in milliseconds. */
export const settleMs = 1000;
