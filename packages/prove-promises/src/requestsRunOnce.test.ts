import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { LinkFault, sendRequest, waitUntil } from "@sardinestage/stand-ins";
import type { CallerAnswer, Installation } from "@sardinestage/stand-ins";
import { RequestOutcome } from "@sardinestage/types";
import { v7 } from "uuid";
import { testBed } from "./testBed.js";

let installation: Installation;

beforeEach(async () => {
    installation = await testBed.start({}, { serviceMs: 150 });
});

afterEach(async () => {
    expect(installation.recorder.violations).toEqual([]);
    await installation.close();
});

/** A refusal as not run must be true, and an answer means that it ran. */
function checkTruth(requestId: string, answers: readonly CallerAnswer[]): void {
    const runs = installation.recorder.requestRuns.get(requestId) ?? 0;
    const answered = answers.filter(answer => answer.outcome === RequestOutcome.Answered).length;
    expect(runs).toBeLessThanOrEqual(1);
    expect(answered).toBeLessThanOrEqual(runs);
    if (answers.every(answer => answer.outcome === RequestOutcome.Refused)) {
        expect(runs).toBe(0);
    }
}

describe("a non-idempotent request", () => {
    describe("when it is sent many times at once through both entries", () => {
        it("runs at most once, and no refusal is untrue", async () => {
            for (let round = 0; round < 5; round++) {
                const requestId = v7();
                const answers = await Promise.all(
                    Array.from({ length: 6 }, (_, i) =>
                        sendRequest(
                            testBed.createOnceRequest(testBed.getCallerPort(installation, i % 2), { requestId }),
                        )),
                );
                checkTruth(requestId, answers);
            }
        });
    });

    describe("when its entry is killed while the target works, and the caller asks the other entry", () => {
        it("is told that the outcome is unknown, and does not run again", async () => {
            const requestId = v7();
            const [first] = installation.entryVms.values();
            const request = sendRequest(testBed.createOnceRequest(first.ports.caller, { requestId }));
            await waitUntil("it runs", () => installation.recorder.requestRuns.has(requestId), testBed.limitMs);
            first.entry.sendSignal("SIGKILL");
            expect((await request).outcome).toBeUndefined();
            const again = await sendRequest(
                testBed.createOnceRequest(testBed.getCallerPort(installation, 1), { requestId }),
            );
            expect([again.outcome, again.reason]).toEqual([RequestOutcome.Unknown, "duplicate-id"]);
            expect(installation.recorder.requestRuns.get(requestId)).toBe(1);
        });
    });

    describe("when its entry was restarted and has forgotten it", () => {
        it("is told that the id is too old to know", async () => {
            const requestId = v7();
            const vms = [...installation.entryVms.values()];
            await sendRequest(testBed.createOnceRequest(vms[0].ports.caller, { requestId }));
            for (const vm of vms) {
                vm.entry.sendSignal("SIGKILL");
                await vm.entry.waitForExit();
                vm.entry.start();
            }
            let again: CallerAnswer | undefined;
            await waitUntil("an entry answers", async () => {
                again = await sendRequest(testBed.createOnceRequest(vms[0].ports.caller, { requestId }));
                return again.outcome === RequestOutcome.Unknown;
            }, testBed.limitMs);
            expect(again?.reason).toBe("id-too-old");
            expect(installation.recorder.requestRuns.get(requestId)).toBe(1);
        });
    });

    describe("when the entries can't reach each other", () => {
        it("is refused as not run, since neither can know what the other let run", async () => {
            const names = [...installation.entryVms.keys()];
            installation.network.setFault(LinkFault.Cut, (from, to) => names.includes(from) && names.includes(to));
            const requestId = v7();
            const answers = await Promise.all(
                [0, 1].map(i =>
                    sendRequest(testBed.createOnceRequest(testBed.getCallerPort(installation, i), { requestId }))
                ),
            );
            checkTruth(requestId, answers);
            expect(answers.map(answer => answer.outcome)).not.toContain(RequestOutcome.Answered);
        });
    });

    describe("when the target's answer is lost", () => {
        it("is told that the outcome is unknown, never that it did not run", async () => {
            installation.network.setFault(LinkFault.AnswersDropped, (_, to) => /-w\d+$/.test(to));
            const requestId = v7();
            const port = testBed.getCallerPort(installation, 0);
            const answer = await sendRequest(testBed.createOnceRequest(port, { requestId, deadlineMs: 1_500 }));
            expect(answer.outcome).toBe(RequestOutcome.Unknown);
            expect(installation.recorder.requestRuns.get(requestId)).toBe(1);
        });
    });

    describe("when open connections to targets have gone silent", () => {
        it("takes a new connection and is answered", async () => {
            const port = testBed.getCallerPort(installation, 0);
            await sendRequest(testBed.createOnceRequest(port));
            installation.network.setFault(LinkFault.OpenSilent, (_, to) => /-w\d+$/.test(to));
            const answer = await sendRequest(testBed.createOnceRequest(port));
            expect(answer.outcome).toBe(RequestOutcome.Answered);
        });
    });
});

describe("an idempotent request", () => {
    describe("when the connection that it is sent on has gone silent", () => {
        it("is answered over a new one within 3 s of the loss", async () => {
            const port = testBed.getCallerPort(installation, 0);
            const send = (requestId: string) =>
                sendRequest({ port, service: testBed.service, requestId, isIdempotent: true, deadlineMs: 5_000 });
            await Promise.all(Array.from({ length: 10 }, (_, i) => send(`warm-${i}`)));
            installation.network.setFault(LinkFault.OpenSilent, (_, to) => /-w\d+$/.test(to));
            const answer = await send("silent");
            expect(answer.outcome).toBe(RequestOutcome.Answered);
            expect(answer.latencyMs).toBeLessThan(3_000);
        });
    });
});
