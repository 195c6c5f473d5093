import { UnusableReason } from "../workers/unusableReason.js";

const DESCRIPTIONS: Readonly<Record<UnusableReason, string>> = {
    [UnusableReason.Unlisted]: "no longer in the worker list",
    [UnusableReason.Draining]: "draining",
    [UnusableReason.Silent]: "no recent answer",
    [UnusableReason.Unreported]: "no report since the worker started",
    [UnusableReason.StrayRuns]: "has runs that no task needs",
    [UnusableReason.Paused]: "refused a start a moment ago",
    [UnusableReason.Probation]: "on probation after failed runs",
    [UnusableReason.OnTrial]: "has its one run on trial after a probation",
    [UnusableReason.Evacuated]: "in an evacuated failure domain",
};

/** Describes in words why a worker gets no start. */
export function describeUnusableReason(reason: UnusableReason): string {
    return DESCRIPTIONS[reason];
}
