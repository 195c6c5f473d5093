import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { LinkFault, sendRequest, waitUntil } from "@sardinestage/stand-ins";
import type { CallerAnswer, Installation } from "@sardinestage/stand-ins";
import { RequestOutcome } from "@sardinestage/types";
import { v7 } from "uuid";
import { testHarness } from "./testHarness.js";

let installation: Installation;

beforeEach(async () => {
    installation = await testHarness.start({}, { serviceMs: 150 });
});

afterEach(async () => {
    expect(installation.recorder.violations).toEqual([]);
    await installation.close();
});

/** Checks that a request ran at most once, that an answered request ran and that a refused request didn't run. */
function checkOutcomes(requestId: string, answers: readonly CallerAnswer[]): void {
    const runs = installation.recorder.requestRuns.get(requestId) ?? 0;
    const answered = answers.filter(answer => answer.outcome === RequestOutcome.Answered).length;
    expect(runs).toBeLessThanOrEqual(1);
    expect(answered).toBeLessThanOrEqual(runs);
    if (answers.every(answer => answer.outcome === RequestOutcome.Refused)) {
        expect(runs).toBe(0);
    }
}

describe("a non-idempotent request", () => {
    describe("when it is sent several times at once through both entries", () => {
        it("runs at most once, and does not run if it is refused", async () => {
            for (let round = 0; round < 5; round++) {
                const requestId = v7();
                const answers = await Promise.all(
                    Array.from({ length: 6 }, (_, i) =>
                        sendRequest(
                            testHarness.createNonIdempotentRequest(testHarness.getCallerPort(installation, i % 2), {
                                requestId,
                            }),
                        )),
                );
                checkOutcomes(requestId, answers);
            }
        });
    });

    describe("when its entry is killed while the target handles it, and the caller retries at the other entry", () => {
        it("gets an unknown outcome and does not run again", async () => {
            const requestId = v7();
            const [first] = installation.entryVms.values();
            const request = sendRequest(testHarness.createNonIdempotentRequest(first.ports.caller, { requestId }));
            await waitUntil(
                "the request runs",
                () => installation.recorder.requestRuns.has(requestId),
                testHarness.waitTimeoutMs,
            );
            first.entry.sendSignal("SIGKILL");
            expect((await request).outcome).toBeUndefined();
            const again = await sendRequest(
                testHarness.createNonIdempotentRequest(testHarness.getCallerPort(installation, 1), { requestId }),
            );
            expect([again.outcome, again.reason]).toEqual([RequestOutcome.Unknown, "duplicate-id"]);
            expect(installation.recorder.requestRuns.get(requestId)).toBe(1);
        });
    });

    describe("when the entries have restarted and have no record of it", () => {
        it("gets an unknown outcome because its id is too old", async () => {
            const requestId = v7();
            const vms = [...installation.entryVms.values()];
            await sendRequest(testHarness.createNonIdempotentRequest(vms[0].ports.caller, { requestId }));
            for (const vm of vms) {
                vm.entry.sendSignal("SIGKILL");
                await vm.entry.waitForExit();
                vm.entry.start();
            }
            let again: CallerAnswer | undefined;
            await waitUntil("an entry answers", async () => {
                again = await sendRequest(testHarness.createNonIdempotentRequest(vms[0].ports.caller, { requestId }));
                return again.outcome === RequestOutcome.Unknown;
            }, testHarness.waitTimeoutMs);
            expect(again?.reason).toBe("id-too-old");
            expect(installation.recorder.requestRuns.get(requestId)).toBe(1);
        });
    });

    describe("when the entries can't reach each other", () => {
        it("is refused as not run, because neither entry knows which requests the other has run", async () => {
            const names = [...installation.entryVms.keys()];
            installation.network.setFault(LinkFault.Cut, (from, to) => names.includes(from) && names.includes(to));
            const requestId = v7();
            const answers = await Promise.all(
                [0, 1].map(i =>
                    sendRequest(
                        testHarness.createNonIdempotentRequest(testHarness.getCallerPort(installation, i), {
                            requestId,
                        }),
                    )
                ),
            );
            checkOutcomes(requestId, answers);
            expect(answers.map(answer => answer.outcome)).not.toContain(RequestOutcome.Answered);
        });
    });

    describe("when the target's answer is lost", () => {
        it("gets an unknown outcome and is never reported as not run", async () => {
            installation.network.setFault(LinkFault.AnswersDropped, (_, to) => /-w\d+$/.test(to));
            const requestId = v7();
            const port = testHarness.getCallerPort(installation, 0);
            const answer = await sendRequest(
                testHarness.createNonIdempotentRequest(port, { requestId, deadlineMs: 1_500 }),
            );
            expect(answer.outcome).toBe(RequestOutcome.Unknown);
            expect(installation.recorder.requestRuns.get(requestId)).toBe(1);
        });
    });

    describe("when open connections to targets have gone silent", () => {
        it("is sent over a new connection and answered", async () => {
            const port = testHarness.getCallerPort(installation, 0);
            await sendRequest(testHarness.createNonIdempotentRequest(port));
            installation.network.setFault(LinkFault.OpenSilent, (_, to) => /-w\d+$/.test(to));
            const answer = await sendRequest(testHarness.createNonIdempotentRequest(port));
            expect(answer.outcome).toBe(RequestOutcome.Answered);
        });
    });
});

describe("an idempotent request", () => {
    describe("when its connection has gone silent", () => {
        it("is answered over a new connection within 3 s", async () => {
            const port = testHarness.getCallerPort(installation, 0);
            const send = (requestId: string) =>
                sendRequest({ port, service: testHarness.service, requestId, isIdempotent: true, deadlineMs: 5_000 });
            await Promise.all(Array.from({ length: 10 }, (_, i) => send(`warm-${i}`)));
            installation.network.setFault(LinkFault.OpenSilent, (_, to) => /-w\d+$/.test(to));
            const answer = await send("silent");
            expect(answer.outcome).toBe(RequestOutcome.Answered);
            expect(answer.latencyMs).toBeLessThan(3_000);
        });
    });
});
