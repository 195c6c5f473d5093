import { RefusalReason } from "@sardinestage/admit-requests";
import { RequestOutcome } from "@sardinestage/types";

/** How a refusal is presented to the caller. */
interface RefusalDescription {
    readonly outcome: RequestOutcome;
    readonly status: number;
    readonly remedy: string;
}

const RETRY_LATER = "Send it again after the time in retry-after.";
const CHECK_EFFECT = "Find out at the service whether it ran before you send it under a new id.";

const descriptions: Readonly<Record<RefusalReason, readonly [status: number, remedy: string]>> = {
    [RefusalReason.Unauthenticated]: [401, "Send a key that the operators gave you as a bearer token."],
    [RefusalReason.Malformed]: [400, "Correct what the detail names."],
    [RefusalReason.UnknownService]: [
        404,
        "Check the service's name, or ask its team whether it is configured.",
    ],
    [RefusalReason.BodyTooLarge]: [413, "Send a smaller body, or have the limit raised."],
    [RefusalReason.TooManyRequests]: [429, RETRY_LATER],
    [RefusalReason.QueueFull]: [429, RETRY_LATER],
    [RefusalReason.DisplacedByUrgent]: [429, RETRY_LATER],
    [RefusalReason.DeadlineUnreachable]: [503, "Send it later or with a longer deadline."],
    [RefusalReason.DeadlinePassed]: [504, "Send it later or with a longer deadline."],
    [RefusalReason.NoTarget]: [503, RETRY_LATER],
    [RefusalReason.Draining]: [503, "Send it to another entry."],
    [RefusalReason.HomeUnreachable]: [
        503,
        "Send it later under the same id, or now under a new id with another home.",
    ],
    [RefusalReason.PeerUnreachable]: [503, RETRY_LATER],
    [RefusalReason.IdFromFuture]: [400, "Set your clock, and make the id anew."],
    [RefusalReason.NotReady]: [503, "Send it to another entry."],
    [RefusalReason.TargetRefused]: [503, RETRY_LATER],
    [RefusalReason.CrossDomainBudget]: [429, RETRY_LATER],
    [RefusalReason.DuplicateId]: [409, CHECK_EFFECT],
    [RefusalReason.IdTooOld]: [409, CHECK_EFFECT],
    [RefusalReason.TargetLost]: [502, CHECK_EFFECT],
    [RefusalReason.TargetSilent]: [504, CHECK_EFFECT],
};

const unknownOutcomes = new Set([
    RefusalReason.DuplicateId,
    RefusalReason.IdTooOld,
    RefusalReason.TargetLost,
    RefusalReason.TargetSilent,
]);

/** Describes a refusal to the caller: outcome, HTTP status and remedy. */
export function describeRefusal(reason: RefusalReason): RefusalDescription {
    const [status, remedy] = descriptions[reason];
    const outcome = unknownOutcomes.has(reason) ? RequestOutcome.Unknown : RequestOutcome.Refused;
    return { outcome, status, remedy };
}
