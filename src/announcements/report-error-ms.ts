/** Error of the times that another host reports, in milliseconds: its report travels, and a collector may hold it. */
export const reportErrorMs = 1000;
