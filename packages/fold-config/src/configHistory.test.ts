import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";
import { ConfigHistory } from "./configHistory.js";
import { ConfigRecordKind } from "./configRecordKind.js";
import { PublishVerdict } from "./publishVerdict.js";

const SEED = 20261204;

function createDocument(batchShare: number): object {
    return { services: [], teams: [], batchShare };
}

function applyChange(history: ConfigHistory, offset: number, id: string, basedOn: number, document: object): void {
    const data = { kind: ConfigRecordKind.Publish, basedOn, operator: "op", document };
    history.applyRecord({ offset, id, appendedAtMs: offset, data });
}

describe("ConfigHistory", () => {
    describe("when two operators publish concurrently", () => {
        it("accepts the first change based on a version and reports a conflict for the second", () => {
            const history = new ConfigHistory();
            applyChange(history, 0, "a", 0, createDocument(0.1));
            applyChange(history, 1, "b", 0, createDocument(0.2));
            expect(history.getVerdict("a")).toBe(PublishVerdict.Accepted);
            expect(history.getVerdict("b")).toBe(PublishVerdict.Conflict);
            expect(history.getCurrent().document.batchShare).toBe(0.1);
        });

        it("applies a record only once if it was appended twice", () => {
            const history = new ConfigHistory();
            applyChange(history, 0, "a", 0, createDocument(0.1));
            applyChange(history, 1, "a", 0, createDocument(0.1));
            expect(history.getVerdict("a")).toBe(PublishVerdict.Accepted);
            expect(history.getCurrent().version).toBe(1);
        });
    });

    describe("when the log's retention has dropped the change", () => {
        it("restores the version from the retention record and accepts changes based on it", () => {
            const history = new ConfigHistory();
            const data = { kind: ConfigRecordKind.Retain, version: 7, document: createDocument(0.3) };
            history.applyRecord({ offset: 90, id: "r", appendedAtMs: 90, data });
            expect([history.getCurrent().version, history.getLastAppendedAtMs()]).toEqual([7, 90]);
            applyChange(history, 91, "b", 7, createDocument(0.4));
            expect([history.getCurrent().version, history.getLastAppendedAtMs()]).toEqual([8, 91]);
        });
    });

    describe("when a document is invalid", () => {
        it("rejects the change and keeps the version", () => {
            const history = new ConfigHistory();
            applyChange(history, 0, "a", 0, { services: [], teams: [], batchShare: 7 });
            expect(history.getVerdict("a")).toBe(PublishVerdict.Invalid);
            expect(history.getCurrent().version).toBe(0);
        });
    });

    describe("when versions arrive from peers and from the log in any order", () => {
        it("never decreases the version and ends at the newest version of the log", () => {
            const step = fc.record({ peer: fc.boolean(), upTo: fc.integer({ min: 1, max: 12 }) });
            fc.assert(
                fc.property(fc.array(step), steps => {
                    const history = new ConfigHistory();
                    let read = 0;
                    let last = 0;
                    for (const { peer, upTo } of [...steps, { peer: false, upTo: 12 }]) {
                        if (peer) {
                            history.acceptCopy(upTo, createDocument(upTo / 100), 0);
                        }
                        for (; !peer && read < upTo; read++) {
                            applyChange(history, read, `change-${read}`, read, createDocument((read + 1) / 100));
                        }
                        const { version, document } = history.getCurrent();
                        expect(version).toBeGreaterThanOrEqual(last);
                        expect(document.batchShare).toBe(version / 100);
                        last = version;
                    }
                    expect(last).toBe(12);
                }),
                { seed: SEED },
            );
        });
    });
});
