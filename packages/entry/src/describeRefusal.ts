import { RefusalReason } from "@sardinestage/admit-requests";
import { RequestOutcome } from "@sardinestage/types";

/** How a refusal is presented to the caller. */
interface RefusalDescription {
    readonly outcome: RequestOutcome;
    readonly status: number;
    readonly remedy: string;
}

const RETRY_LATER = "Send the request again after the time in retry-after.";
const CHECK_EFFECT = "Check at the service whether the request ran before sending it again under a new id.";

const descriptions: Readonly<Record<RefusalReason, readonly [status: number, remedy: string]>> = {
    [RefusalReason.Unauthenticated]: [401, "Send the key that you got from the operators as a bearer token."],
    [RefusalReason.Malformed]: [400, "Correct the fault named in detail."],
    [RefusalReason.UnknownService]: [
        404,
        "Check the service's name, or ask the service's team whether the service is configured.",
    ],
    [RefusalReason.BodyTooLarge]: [413, "Send a smaller body, or ask the operators to raise the limit."],
    [RefusalReason.TooManyRequests]: [429, RETRY_LATER],
    [RefusalReason.QueueFull]: [429, RETRY_LATER],
    [RefusalReason.DisplacedByUrgent]: [429, RETRY_LATER],
    [RefusalReason.DeadlineUnreachable]: [503, "Send the request later or with a longer deadline."],
    [RefusalReason.DeadlinePassed]: [504, "Send the request later or with a longer deadline."],
    [RefusalReason.NoTarget]: [503, RETRY_LATER],
    [RefusalReason.Draining]: [503, "Send the request to another entry."],
    [RefusalReason.HomeUnreachable]: [
        503,
        "Send the request later under the same id, or now under a new id with another home domain.",
    ],
    [RefusalReason.PeerUnreachable]: [503, RETRY_LATER],
    [RefusalReason.IdFromFuture]: [400, "Correct your clock and create a new id."],
    [RefusalReason.NotReady]: [503, "Send the request to another entry."],
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
