// roarr reads this variable when it is loaded, and discards all log lines unless it is set.
process.env.ROARR_LOG = 'true';

/** Makes this file a module, so that it can be imported before roarr. @internal */
export const isRoarrEnabled = true;
