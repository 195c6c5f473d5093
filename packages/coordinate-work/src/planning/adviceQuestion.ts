import type { AdvicePolicy } from "@sardinestage/describe-work";
import type { StepDemand } from "@sardinestage/plan-starts";
import type { AdviceWorker } from "./adviceWorker.js";
import type { StepAdvice } from "./stepAdvice.js";

/** A call to the advice service that would help a step to start. */
export interface AdviceQuestion {
    readonly demand: StepDemand;
    readonly advice: StepAdvice;
    readonly policy: AdvicePolicy;
    /** The workers worth asking about, the most useful first. */
    readonly workers: readonly AdviceWorker[];
    /** Whether earlier tickets or calls haven't helped the step. */
    readonly isRetry: boolean;
}
