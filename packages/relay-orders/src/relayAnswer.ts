import type { LeaseReport, OrderOutcome } from "@sardinestage/describe-ports";

/** A worker's answer to a relayed call. */
export interface RelayAnswer {
    readonly outcome: OrderOutcome;
    /** The worker's report; only in answers to lease renewals. */
    readonly report: LeaseReport | undefined;
}
