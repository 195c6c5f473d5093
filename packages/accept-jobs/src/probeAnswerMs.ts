/**
 * A coordinator that answers again after several calls without an answer does so within this, in milliseconds: a round
 * trip between regions.
 */
export const PROBE_ANSWER_MS = 150;
