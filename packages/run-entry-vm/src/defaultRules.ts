import type { EntryVmRules } from "./entryVmRules.js";

/** Times that fit leases of a few seconds: a dead coordinator is replaced well before anything lapses. */
export const defaultRules: EntryVmRules = {
    silenceMs: 1000,
    storeSilenceMs: 700,
    renewalSilenceMs: 2500,
    youngTermMs: 10_000,
    youngTermPatience: 2,
    freshRenewalMs: 1500,
    unreachableMs: 10_000,
    followedShare: 0.25,
    recordedWithinMs: 4000,
    renewalDoubtMs: 750,
    wallToleranceMs: 2000,
    storeSteadyMs: 700,
    followMs: 250,
    peerTimeoutMs: 300,
    renewMs: 500,
    standDelayPerStoreMs: 6,
    maxStandDelayMs: 350,
    weakerStandDelayMs: 600,
    giveWayWeakness: 0.4,
    steadyMs: 3000,
    standJitterMs: 60,
};
