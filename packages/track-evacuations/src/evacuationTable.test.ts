import { describe, expect, it } from "@jest/globals";
import { EvacuationChange } from "./evacuationChange.js";
import { EvacuationTable } from "./evacuationTable.js";

const START = { domain: "a", isEvacuated: true };
const END = { domain: "a", isEvacuated: false };

/** Creates a table that knows all records below an offset, among them those that evacuate domains. */
function createTable(readUpTo: number, evacuated: readonly { domain: string; offset: number }[]): EvacuationTable {
    const table = new EvacuationTable();
    table.applyState({ readUpTo, evacuated }, "test");
    return table;
}

function listDomains(table: EvacuationTable): readonly string[] {
    return table.list().map(({ domain }) => domain).sort();
}

describe("EvacuationTable", () => {
    describe("with the records of the store", () => {
        it("knows nothing before the topic was read, and tells others nothing", () => {
            const table = new EvacuationTable();
            table.applyRecord(START, 3, "store");
            expect([table.isKnown, table.state, table.isEvacuated("a")]).toEqual([false, undefined, true]);
            table.noteRead(4);
            expect(table.state).toEqual({ readUpTo: 4, evacuated: [{ domain: "a", offset: 3 }] });
        });

        it("starts and ends evacuations, also of two domains at once", () => {
            const table = createTable(0, []);
            expect(table.applyRecord(START, 3, "store")).toBe(EvacuationChange.Started);
            expect(table.applyRecord({ domain: "b", isEvacuated: true }, 4, "store")).toBe(EvacuationChange.Started);
            expect(table.applyRecord(END, 5, "store")).toBe(EvacuationChange.Ended);
            expect(listDomains(table)).toEqual(["b"]);
        });

        it("changes nothing by a repeated record, a second end, or records that are read again", () => {
            const table = createTable(0, []);
            expect(table.applyRecord(END, 2, "store")).toBe(EvacuationChange.NotEvacuated);
            table.applyRecord(START, 3, "store");
            expect(table.applyRecord(START, 4, "store")).toBe(EvacuationChange.Repeated);
            expect(table.applyRecord(END, 2, "store")).toBe(EvacuationChange.Outdated);
            table.noteRead(5);
            expect(table.applyRecord(START, 4, "store")).toBe(EvacuationChange.Outdated);
            expect(listDomains(table)).toEqual(["a"]);
        });
    });

    describe("with the state of another process", () => {
        it("takes what the other has read further", () => {
            const table = createTable(5, [{ domain: "a", offset: 3 }]);
            const { started, ended } = table.applyState({ readUpTo: 9, evacuated: [{ domain: "b", offset: 7 }] }, "x");
            expect([started.map(row => row.domain), ended.map(row => row.domain)]).toEqual([["b"], ["a"]]);
            expect(table.state).toEqual({ readUpTo: 9, evacuated: [{ domain: "b", offset: 7 }] });
        });

        // Guards against an evacuation that a process without the store brings back after its end.
        it("ignores what the other hasn't read the end of", () => {
            const table = createTable(9, []);
            table.applyState({ readUpTo: 5, evacuated: [{ domain: "a", offset: 3 }] }, "x");
            expect(listDomains(table)).toEqual([]);
        });

        it("keeps an evacuation that the other hasn't read yet", () => {
            const table = createTable(9, [{ domain: "a", offset: 8 }]);
            table.applyState({ readUpTo: 5, evacuated: [] }, "x");
            expect(listDomains(table)).toEqual(["a"]);
        });

        it("comes to the same state in any order", () => {
            const states = [
                { readUpTo: 4, evacuated: [{ domain: "a", offset: 3 }] },
                { readUpTo: 6, evacuated: [{ domain: "b", offset: 5 }] },
                { readUpTo: 8, evacuated: [{ domain: "b", offset: 5 }, { domain: "a", offset: 7 }] },
            ];
            for (const order of [[0, 1, 2], [2, 1, 0], [1, 0, 2], [2, 0, 1]]) {
                const table = new EvacuationTable();
                order.forEach(index => table.applyState(states[index], "x"));
                expect(listDomains(table)).toEqual(["a", "b"]);
                expect(table.state?.readUpTo).toBe(8);
            }
        });
    });
});
