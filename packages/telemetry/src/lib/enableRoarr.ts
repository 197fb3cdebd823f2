// roarr looks at this when it is loaded, and without it throws every line away.
process.env.ROARR_LOG = 'true';

/** Makes this file a module, to be imported before roarr. @internal */
export const isRoarrEnabled = true;
