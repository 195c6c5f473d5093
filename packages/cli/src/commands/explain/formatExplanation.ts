import type { PlacementExplanation, StepExplanation } from "@sardinestage/describe-work";

/** Formats the explanation of a job's placement for a terminal. */
export function formatExplanation({ mayStart, steps, leftOutCount }: PlacementExplanation): string {
    const notes = [
        !mayStart && "The coordinator may start no task now; the placements hold once it may.",
        steps.length === 0 && "No task of the job waits now.",
    ];
    const leftOut = leftOutCount > 0 && `${leftOutCount} further steps with waiting tasks are left out.`;
    return [...notes, ...steps.map(step => formatStep(step)), leftOut].filter(line => line !== false).join("\n");
}

function formatStep(step: StepExplanation): string {
    const { occurrence, taskCount, activeCount, waitingCount, waitsForSteps, placements, waitReason } = step;
    const lines = [
        `occurrence ${occurrence}, step ${step.step}: ${waitingCount} of ${taskCount} tasks wait, ${activeCount} run`,
    ];
    if (waitsForSteps.length > 0) {
        return [...lines, `    waits for the steps ${waitsForSteps.join(", ")}`].join("\n");
    }
    placements.forEach(({ workerId, tasks, reasons }) =>
        lines.push(`    ${workerId}: tasks ${tasks.join(", ")}`, `        ${reasons.join("; ")}`)
    );
    if (waitReason !== undefined) {
        lines.push(`    further tasks wait: ${waitReason}`);
    }
    lines.push(`    ${step.candidateCount} workers could take a task`);
    step.ruledOut.forEach(({ reason, workers }) => lines.push(`    ${workers} workers ruled out: ${reason}`));
    return lines.join("\n");
}
