import type { JobSpec, StepSpec } from "@sardinestage/describe-work";
import type { Result } from "ts-results";
import tsResults from "ts-results";

const { Err, Ok } = tsResults;

/** Bounds of what is parsed: a job outside of them is refused, since it would take the reader too long. */
const MAX_STEPS = 1000;
const MAX_TASKS = 1_000_000;

/** The values of fields that a step may leave out. Their types are those that the fields must have. */
const STEP_DEFAULTS: StepSpec = {
    taskCount: 1,
    cpuMillis: 1000,
    memoryMb: 0,
    accelerators: 0,
    estimateMs: 0,
    dependsOn: [],
    savesProgress: false,
    gang: false,
    sameRack: false,
    requiredLabel: "",
    preferredRack: "",
    maxTasksPerWorker: 0,
    speculative: false,
    longRunning: false,
    image: "",
    tailLatencyTargetMs: 0,
    isBestEffort: false,
    maxUnavailable: 0,
};

/**
 * Parses a job that was written by hand, in the names of `JobSpec`. Steps may leave out fields.
 *
 * @returns The job as if it runs once and now, or what is wrong with it.
 */
export function parseJobSpec(value: unknown): Result<JobSpec, string> {
    const steps = (value as { steps?: unknown } | undefined)?.steps;
    if (!Array.isArray(steps) || steps.length === 0 || steps.length > MAX_STEPS) {
        return Err(`"steps" must be a list of 1 to ${MAX_STEPS} steps.`);
    }
    const problem = steps.map((step, number) => findProblem(step, number)).find(each => each !== undefined);
    if (problem !== undefined) {
        return Err(problem);
    }
    const parsed = steps.map((step: Partial<StepSpec>) => ({ ...STEP_DEFAULTS, ...step }));
    return Ok({ payload: "", steps: parsed, repeatCount: 0, firstRunMs: 0, intervalMs: 0 });
}

function findProblem(step: unknown, number: number): string | undefined {
    if (typeof step !== "object" || !step || Array.isArray(step)) {
        return `Step ${number} must be an object.`;
    }
    for (const [name, value] of Object.entries(step)) {
        if (!Object.hasOwn(STEP_DEFAULTS, name)) {
            return `Step ${number} has the unknown field "${name}".`;
        }
        const usual: unknown = STEP_DEFAULTS[name as keyof StepSpec];
        if (name === "dependsOn" ? !isListOfEarlier(value, number) : !isLike(value, usual)) {
            return `Step ${number} has an invalid "${name}".`;
        }
    }
    const { taskCount = 1 } = step as Partial<StepSpec>;
    return taskCount >= 1 && taskCount <= MAX_TASKS ? undefined : `Step ${number} must have 1 to ${MAX_TASKS} tasks.`;
}

function isLike(value: unknown, usual: unknown): boolean {
    return typeof value === typeof usual && (typeof value !== "number" || (Number.isInteger(value) && value >= 0));
}

function isListOfEarlier(value: unknown, number: number): boolean {
    return Array.isArray(value) && value.every(each => Number.isInteger(each) && each >= 0 && each < number);
}
