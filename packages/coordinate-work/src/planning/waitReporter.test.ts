import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import type { StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import { Job, openDueOccurrences } from "@sardinestage/track-jobs";
import { createQueue } from "../testing/createQueue.js";
import { WaitReporter } from "./waitReporter.js";

function createDemand(run: number): StepDemand {
    const steps = [createStep({ longRunning: true, cpuMillis: 3000, memoryMb: 2000 })];
    const job = new Job("job", { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, createQueue(), 1);
    openDueOccurrences(job, 1);
    const [step] = [...job.openOccurrences.values()][0].steps;
    step.tasks[0].run = run;
    const waiting = step.tasks;
    return { step, waiting, isStarted: run > 0, remainingMs: 0, waitedMs: 0, slackMs: 0, lateSlackMs: 0 };
}

function createCapacity(freeCpuMillis: number, freeMemoryMb: number): WorkerCapacity {
    return { service: "service", labels: [], freeCpuMillis, freeMemoryMb } as unknown as WorkerCapacity;
}

function collectLines(act: (reporter: WaitReporter) => void): object[] {
    const lines: object[] = [];
    const note = (event: string, fields?: object) => lines.push({ event, ...fields });
    act(new WaitReporter({ info: note, warn: note, error: note }));
    return lines;
}

describe("WaitReporter", () => {
    describe("when an interrupted long-running task finds no capacity", () => {
        it("logs once a second how many workers have enough processor and how many enough memory", () => {
            const capacities = [createCapacity(3500, 1000), createCapacity(500, 9000), createCapacity(100, 0)];
            const lines = collectLines(reporter => {
                reporter.reportUnmet([createDemand(1)], capacities, 0);
                reporter.reportUnmet([createDemand(1)], capacities, 999);
            });
            expect(lines).toMatchObject([{
                tasks: 1,
                allowed: 3,
                withProcessor: 1,
                withMemory: 1,
                mostCpuMillis: 3500,
            }]);
        });
    });

    describe("when a waiting task has never run", () => {
        it("logs nothing", () => {
            expect(collectLines(reporter => reporter.reportUnmet([createDemand(0)], [], 0))).toEqual([]);
        });
    });
});
