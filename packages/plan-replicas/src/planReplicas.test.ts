import { describe, expect, it } from "@jest/globals";
import { applyTaskRecord, TaskLedger } from "@sardinestage/fold-tasks";
import type { TaskRecord } from "@sardinestage/fold-tasks";
import { TaskRecordKind } from "@sardinestage/fold-tasks";
import type { ConfigDocument } from "@sardinestage/types";
import { TaskPhase } from "@sardinestage/types";
import { planReplicas } from "./planReplicas.js";

const SIZE = { cpuMillis: 1, memoryMb: 1, accelerators: 0, slots: 1 };

function createConfig(replicas: number, payload = ""): ConfigDocument {
    const service = { name: "route", team: "t", replicas: { here: replicas }, size: SIZE, concurrency: 1, payload };
    return { services: [service], teams: [], batchShare: 0, drainedWorkers: [] };
}

/** Plans and applies records for 10 rounds, after which nothing is left to plan. Returns the next free offset. */
function applyPlans(ledger: TaskLedger, config: ConfigDocument, start: number): number {
    let offset = start;
    for (let round = 0; round < 10; round++) {
        for (const record of planReplicas({ config, domain: "here", tasks: ledger.listTasks() })) {
            applyTaskRecord(ledger, { ...record, offset: offset++, appendedAtMs: 0 });
        }
    }
    return offset;
}

function countOpen(ledger: TaskLedger): number {
    return [...ledger.listTasks()].filter(entry => entry.phase === TaskPhase.Waiting || entry.phase === TaskPhase.Bound)
        .length;
}

describe("planReplicas", () => {
    describe("when a service is configured", () => {
        it("submits each replica once", () => {
            const ledger = new TaskLedger();
            expect(applyPlans(ledger, createConfig(3), 1)).toBe(4);
            expect(countOpen(ledger)).toBe(3);
        });
    });

    describe("when a service runs in two failure domains", () => {
        it("gives its replicas different ids", () => {
            const config = createConfig(1);
            const [service] = config.services;
            const both = { ...config, services: [{ ...service, replicas: { here: 1, there: 1 } }] };
            const ids = ["here", "there"].flatMap(domain => planReplicas({ config: both, domain, tasks: [] }))
                .map(record => record.id);
            expect(new Set(ids).size).toBe(2);
        });
    });

    describe("when a replica has ended", () => {
        it("submits another under a new id", () => {
            const ledger = new TaskLedger();
            const offset = applyPlans(ledger, createConfig(1), 1);
            const [{ spec: { taskId } }] = [...ledger.listTasks()];
            const cancel: TaskRecord = { kind: TaskRecordKind.Cancel, taskId, reason: "" };
            applyTaskRecord(ledger, { id: "c", offset, appendedAtMs: 0, data: cancel });
            applyPlans(ledger, createConfig(1), offset + 1);
            expect([...ledger.listTasks()].length).toBe(2);
            expect(countOpen(ledger)).toBe(1);
        });
    });

    describe("when the service is removed or made smaller", () => {
        it("cancels the surplus replicas", () => {
            const ledger = new TaskLedger();
            const offset = applyPlans(ledger, createConfig(3), 1);
            applyPlans(ledger, createConfig(1), offset);
            expect(countOpen(ledger)).toBe(1);
        });
    });

    describe("when the service changes", () => {
        it("keeps the old replica until the new one is bound", () => {
            const ledger = new TaskLedger();
            const offset = applyPlans(ledger, createConfig(1), 1);
            const last = applyPlans(ledger, createConfig(1, "new"), offset);
            expect(countOpen(ledger)).toBe(2);
            const newest = [...ledger.listTasks()].find(entry => entry.spec.payload === "new");
            const hold: TaskRecord = { kind: TaskRecordKind.Hold, worker: "w", token: 1, holder: "h" };
            const bind: TaskRecord = {
                kind: TaskRecordKind.Bind,
                taskId: newest?.spec.taskId ?? "",
                generation: 1,
                worker: "w",
                token: 1,
            };
            applyTaskRecord(ledger, { id: "h", offset: last, appendedAtMs: 0, data: hold });
            applyTaskRecord(ledger, { id: "b", offset: last + 1, appendedAtMs: 0, data: bind });
            applyPlans(ledger, createConfig(1, "new"), last + 2);
            expect(countOpen(ledger)).toBe(1);
        });
    });
});
