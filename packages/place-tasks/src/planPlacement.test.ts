import { describe, expect, it } from "@jest/globals";
import type { TaskSpec } from "@sardinestage/types";
import { Urgency, WorkKind } from "@sardinestage/types";
import fc from "fast-check";
import type { CandidateWorker } from "./candidateWorker.js";
import { PlacementRefusal } from "./placementRefusal.js";
import type { PlacementView } from "./placementView.js";
import { planPlacement } from "./planPlacement.js";
import { resourceMath } from "./resourceMath.js";

const SEED = 20261204;
const CAPACITY = { cpuMillis: 16_000, memoryMb: 60_000, accelerators: 0, slots: 8 };

function createSpec(taskId: string, changes: Partial<TaskSpec> = {}): TaskSpec {
    return {
        taskId,
        team: "plan",
        kind: WorkKind.Batch,
        urgency: Urgency.Normal,
        taskClass: "plan",
        size: { cpuMillis: 2_000, memoryMb: 1_000, accelerators: 0, slots: 1 },
        expectedRunMs: 1_000,
        payload: "",
        ...changes,
    };
}

function createWorker(worker: string, residents: TaskSpec[] = [], rack = "r1"): CandidateWorker {
    return { worker, rack, capacity: CAPACITY, residents, onProbation: false };
}

function createView(
    specs: TaskSpec[],
    workers: CandidateWorker[],
    changes: Partial<PlacementView> = {},
): PlacementView {
    return {
        waiting: specs.map(spec => ({ spec, failedOn: [], mayBindAhead: true })),
        workers,
        domainTasks: workers.flatMap(worker => worker.residents),
        domainCpuMillis: CAPACITY.cpuMillis * workers.length,
        largestWorker: CAPACITY,
        teams: [{ team: "plan", guaranteedShare: 0.5, maximumShare: 1 }, {
            team: "other",
            guaranteedShare: 0,
            maximumShare: 1,
        }],
        batchShare: 0,
        bindAhead: 0,
        maxPlacements: 1000,
        estimateSize: spec => spec.size,
        estimateInterference: () => 0,
        ...changes,
    };
}

describe("planPlacement", () => {
    describe("with any set of waiting tasks", () => {
        it("never gives a worker more than its capacity when nothing is bound ahead", () => {
            const size = fc.record({
                cpuMillis: fc.integer({ min: 1, max: 20_000 }),
                memoryMb: fc.integer({ min: 1, max: 70_000 }),
                accelerators: fc.constant(0),
                slots: fc.integer({ min: 1, max: 3 }),
            });
            fc.assert(
                fc.property(fc.array(size, { maxLength: 60 }), fc.integer({ min: 1, max: 5 }), (sizes, count) => {
                    const specs = sizes.map((each, i) => createSpec(`t${i}`, { size: each }));
                    const workers = Array.from({ length: count }, (_, i) => createWorker(`w${i}`));
                    const { placements, refusals } = planPlacement(createView(specs, workers));
                    expect(placements.length + refusals.size).toBe(specs.length);
                    for (const { worker } of workers) {
                        const given = placements.filter(each => each.worker === worker)
                            .map(each => specs.find(spec => spec.taskId === each.taskId)?.size ?? resourceMath.none)
                            .reduce(resourceMath.add, resourceMath.none);
                        expect(resourceMath.fits(given, CAPACITY)).toBe(true);
                    }
                }),
                { seed: SEED },
            );
        });
    });

    describe("when work can't be placed", () => {
        it("refuses a task that is larger than every worker", () => {
            const spec = createSpec("t", { size: { ...CAPACITY, cpuMillis: 99_000 } });
            const { refusals } = planPlacement(createView([spec], [createWorker("w")]));
            expect(refusals.get("t")).toBe(PlacementRefusal.NeverFits);
        });

        it("places no services on the share that is guaranteed to batch work", () => {
            const services = Array.from(
                { length: 8 },
                (_, i) => createSpec(`s${i}`, { kind: WorkKind.LatencyCritical }),
            );
            const { placements, refusals } = planPlacement(
                createView(services, [createWorker("w")], { batchShare: 0.5 }),
            );
            expect(placements.length).toBe(4);
            expect(refusals.get("s7")).toBe(PlacementRefusal.BatchGuarantee);
        });

        it("binds at most the allowed number of batch tasks ahead to a full worker", () => {
            const specs = Array.from({ length: 12 }, (_, i) => createSpec(`t${i}`));
            const { placements } = planPlacement(createView(specs, [createWorker("w")], { bindAhead: 2 }));
            expect(placements.filter(each => each.ahead).length).toBe(2);
            expect(placements.length).toBe(10);
        });

        it("binds nothing ahead while another scheduler may still have free capacity", () => {
            const view = createView(Array.from({ length: 12 }, (_, i) => createSpec(`t${i}`)), [createWorker("w")], {
                bindAhead: 2,
            });
            const waiting = view.waiting.map(each => ({ ...each, mayBindAhead: false }));
            expect(planPlacement({ ...view, waiting }).placements.length).toBe(8);
        });
    });

    describe("when teams compete", () => {
        it("places a team below its guaranteed share before a borrowing team with more urgent tasks", () => {
            const specs = [
                ...Array.from(
                    { length: 8 },
                    (_, i) => createSpec(`o${i}`, { team: "other", urgency: Urgency.Critical }),
                ),
                createSpec("p", { urgency: Urgency.Low }),
            ];
            const { placements } = planPlacement(createView(specs, [createWorker("w")]));
            expect(placements[0].taskId).toBe("p");
        });

        it("limits a team to its maximum share", () => {
            const teams = [{ team: "plan", guaranteedShare: 0, maximumShare: 0.25 }];
            const specs = Array.from({ length: 4 }, (_, i) => createSpec(`t${i}`));
            const { placements, refusals } = planPlacement(createView(specs, [createWorker("w")], { teams }));
            expect(placements.length).toBe(2);
            expect(refusals.get("t3")).toBe(PlacementRefusal.TeamAtMaximum);
        });
    });

    describe("when there is a choice", () => {
        it("spreads a service's replicas over workers and racks", () => {
            const replica = (id: string) => createSpec(id, { kind: WorkKind.LatencyCritical, service: "s" });
            const workers = [
                createWorker("w1", [replica("a")], "r1"),
                createWorker("w2", [], "r1"),
                createWorker("w3", [], "r2"),
            ];
            expect(planPlacement(createView([replica("b")], workers)).placements[0].worker).toBe("w3");
        });

        it("places batch work away from a service that it would slow down", () => {
            const service = createSpec("s", { kind: WorkKind.LatencyCritical, service: "s", taskClass: "route" });
            const workers = [createWorker("w1", [service]), createWorker("w2")];
            const estimateInterference = (victim: TaskSpec) => victim.taskClass === "route" ? 0.5 : 0;
            const { placements } = planPlacement(
                createView([createSpec("t")], workers, { estimateInterference }),
            );
            expect(placements[0].worker).toBe("w2");
        });

        it("places a failed task on another worker", () => {
            const view = createView([], [createWorker("w1", [createSpec("x")]), createWorker("w2")]);
            const waiting = [{ spec: createSpec("t"), failedOn: ["w1"], mayBindAhead: true }];
            expect(planPlacement({ ...view, waiting }).placements[0].worker).toBe("w2");
        });

        it("gives a worker on probation one task at a time", () => {
            const worker = { ...createWorker("w1"), onProbation: true };
            expect(planPlacement(createView([createSpec("a"), createSpec("b")], [worker])).placements.length).toBe(1);
        });
    });
});
