import { WaitReason } from "@sardinestage/plan-starts";

const DESCRIPTIONS: Readonly<Record<WaitReason, string>> = {
    [WaitReason.NotAllowed]: "other service, or without the required label",
    [WaitReason.WorkersUnusable]: "reserved as a whole for waiting tasks, or without a start left",
    [WaitReason.Accelerators]: "too few free accelerators",
    [WaitReason.Memory]: "too little free memory",
    [WaitReason.Processor]: "too little free processor",
    [WaitReason.ReservedForOthers]: "free capacity is reserved for other waiting tasks",
    [WaitReason.OwnReservation]: "the step waits for its own reserved start",
    [WaitReason.StepLimit]: "as many tasks of the step as one worker may have",
    [WaitReason.Advice]: "not allowed by the advice service, or its answer isn't known",
    [WaitReason.Headroom]: "serving tasks would come too close to their latency targets",
    [WaitReason.Gang]: "the gang doesn't fit as a whole",
    [WaitReason.Evacuated]: "only workers of an evacuated failure domain have room",
    [WaitReason.NextRound]: "there is room, but the task is left to a later round",
};

/** Describes in words why a task waits, or why a worker is ruled out for it. */
export function describeWaitReason(reason: WaitReason): string {
    return DESCRIPTIONS[reason];
}
