import type { StepRun } from "@sardinestage/track-jobs";

/** Gives all waiting members of a gang that isn't active the same checkpoint: a gang resumes as a whole. */
export function shareCheckpoint(step: StepRun): void {
    const members = [...step.listKnown()];
    if (members.some(member => member.isActive)) {
        return;
    }
    const checkpoint = members.find(member => member.checkpoint !== "")?.checkpoint ?? "";
    members.forEach(member => member.checkpoint = checkpoint);
}
