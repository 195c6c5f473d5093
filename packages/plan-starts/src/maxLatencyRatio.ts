/** Expected tail latency, as a share of its target, above which a deferrable best-effort task isn't placed. */
export const MAX_LATENCY_RATIO = 0.88;
