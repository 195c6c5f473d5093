import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import type { NewestRecordsPage, StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, ReadOutcome, Topic, waitFor } from "@sardinestage/describe-ports";
import { emulatedStoreLimits, MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
import { silentLogger } from "@sardinestage/log-events";
import type { CoordinatorCall } from "./coordinatorCall.js";
import type { CoordinatorReply } from "./coordinatorReply.js";
import { RecordAppender } from "./recordAppender.js";
import { SubmitOutcome } from "./submitOutcome.js";

/** An answer after this is not at once, in milliseconds: several usual answer times of a store. */
const AT_ONCE_MS = 50;

/** A record appender whose store and coordinator the test defines, and what became of each record. */
class AppenderScene {
    readonly clock = new VirtualClock();
    readonly memory = new MemoryStore(this.clock, () => 0);
    readonly outcomes = new Map<string, { readonly outcome: string; readonly tookMs: number }>();
    readonly calls: CoordinatorCall[] = [];
    /** The coordinator; by default there is none. */
    coordinator: () => Promise<CoordinatorReply | undefined> = () => Promise.resolve({ isUnsent: true });
    private readonly appender: RecordAppender;

    constructor(store: Partial<StorePort> = {}) {
        const { clock, memory } = this;
        this.appender = new RecordAppender({
            limits: emulatedStoreLimits,
            store: {
                append: call => memory.append(call),
                read: (topic, from, waitMs) => memory.read(topic, from, waitMs),
                readNewest: (topic, afterKey, options) => memory.readNewest(topic, afterKey, options),
                ...store,
            },
            coordinatorClient: {
                call: call => {
                    this.calls.push(call);
                    return this.coordinator();
                },
            },
            clock,
            logger: silentLogger,
            metrics: new Metrics(),
        });
    }

    submit(key: string, timeoutMs = 2700): void {
        const sentAtMs = this.clock.getNow();
        void this.appender.append({ key, value: new Uint8Array([1]) }, timeoutMs).then(outcome =>
            this.outcomes.set(key, { outcome: SubmitOutcome[outcome], tookMs: this.clock.getNow() - sentAtMs })
        );
    }

    async waitUnanswered(timeoutMs = 3000): Promise<undefined> {
        await waitFor(this.clock, timeoutMs);
        return undefined;
    }

    async listStored(): Promise<readonly string[]> {
        const page = this.memory.readNewest(Topic.Jobs, undefined);
        await this.clock.runFor(10);
        return (await page).records.map(({ key }) => key);
    }
}

const lostPage: NewestRecordsPage = { succeeded: false, records: [], hasMore: false, end: 0 };

describe("A record's outcome", () => {
    describe("when neither the store nor the coordinator answers, and the caller has a short timeout", () => {
        const TIMEOUT_MS = 300;

        async function submitMany(): Promise<AppenderScene> {
            const scene = new AppenderScene();
            scene.memory.faults.isDown = true;
            scene.coordinator = () => scene.waitUnanswered();
            for (let index = 0; index < 30; index++) {
                scene.submit(`job${index}`, TIMEOUT_MS);
                await scene.clock.runFor(45);
            }
            await scene.clock.runFor(3000);
            return scene;
        }

        // Guards against answers that come only when the store's and the coordinator's timeouts have passed.
        it("is known when the caller stops waiting", async () => {
            const { outcomes } = await submitMany();
            expect(outcomes.size).toBe(30);
            expect(Math.max(...[...outcomes.values()].map(({ tookMs }) => tookMs))).toBeLessThanOrEqual(TIMEOUT_MS);
        });

        // Guards against a refusal of a record that was sent, and against sending one that was refused.
        it("is refused only if the record was never sent", async () => {
            const scene = new AppenderScene();
            const sent = new Set<string>();
            scene.memory.faults.isDown = true;
            scene.coordinator = () => {
                scene.calls.at(-1)?.records?.forEach(({ key }) => sent.add(key));
                return scene.waitUnanswered();
            };
            const original = scene.memory.append.bind(scene.memory);
            scene.memory.append = call => {
                call.records.forEach(({ key }) => sent.add(key));
                return original(call);
            };
            for (let index = 0; index < 30; index++) {
                scene.submit(`job${index}`, TIMEOUT_MS);
                await scene.clock.runFor(45);
            }
            await scene.clock.runFor(5000);
            const refused = [...scene.outcomes].filter(([, { outcome }]) => outcome === "Refused").map(([key]) => key);
            expect(refused.length).toBeGreaterThan(0);
            expect(refused.filter(key => sent.has(key))).toEqual([]);
        });
    });

    describe("when the store has lost one answer and there is no coordinator", () => {
        // Guards against refusals until the timeout of a check whose own answer was lost.
        it("is accepted again soon although the answer of the first check was lost too", async () => {
            let checks = 0;
            const scene: AppenderScene = new AppenderScene({
                readNewest: async (topic, afterKey, options) => {
                    checks++;
                    if (checks === 1) {
                        await waitFor(scene.clock, 1000);
                        return lostPage;
                    }
                    return scene.memory.readNewest(topic, afterKey, options);
                },
            });
            scene.memory.faults.lostAnswerShare = 1;
            scene.submit("first");
            await scene.clock.runFor(210);
            scene.memory.faults.lostAnswerShare = 0;
            await scene.clock.runFor(400);
            scene.submit("second");
            await scene.clock.runFor(AT_ONCE_MS);
            expect(scene.outcomes.get("second")?.outcome).toBe("Accepted");
        });

        // Guards against a refusal while the check that shows that the store answers is under way.
        it("is accepted if the check that is under way finds that the store answers", async () => {
            const scene = new AppenderScene();
            scene.memory.faults.lostAnswerShare = 1;
            scene.submit("first");
            await scene.clock.runFor(203);
            scene.memory.faults.lostAnswerShare = 0;
            scene.submit("second");
            await scene.clock.runFor(AT_ONCE_MS);
            expect(scene.outcomes.get("second")?.outcome).toBe("Accepted");
        });
    });

    describe("when the store loses answers again and again", () => {
        // Guards against checks that go on for each loss of an answer, although the store was available in between.
        it("has few checks of the store", async () => {
            let checks = 0;
            const scene: AppenderScene = new AppenderScene({
                readNewest: (topic, afterKey, options) => {
                    checks++;
                    return scene.memory.readNewest(topic, afterKey, options);
                },
            });
            scene.memory.faults.lostAnswerShare = 1;
            for (let index = 0; index < 20; index++) {
                scene.submit(`job${index}`, 190);
                await scene.clock.runFor(230);
            }
            const before = checks;
            scene.memory.faults.isDown = true;
            await scene.clock.runFor(2000);
            expect(before).toBeLessThanOrEqual(45);
            expect(checks - before).toBeLessThanOrEqual(10);
        });
    });

    describe("when the store refuses this VM and the coordinator has missed several calls", () => {
        function createRefusedScene(): AppenderScene {
            const refused = { outcome: AppendOutcome.Refused, offset: 0, end: 0 };
            const scene: AppenderScene = new AppenderScene({
                append: () => Promise.resolve(refused),
                read: () => Promise.resolve({ outcome: ReadOutcome.Failed, records: [], next: 0 }),
                readNewest: () => waitFor(scene.clock, 4).then(() => lostPage),
            });
            scene.coordinator = () => scene.waitUnanswered();
            return scene;
        }

        // Guards against callers that wait to the end because their records probe the coordinator: a VM gets less than one
        // submission a second, so that nearly each one would be a probe.
        it("is refused at once, also if callers submit seldom", async () => {
            const scene = createRefusedScene();
            for (let index = 0; index < 8; index++) {
                scene.submit(`job${index}`);
                await scene.clock.runFor(1500);
            }
            const late = [...scene.outcomes].filter(([key]) => Number(key.slice(3)) >= 4).map(([, taken]) => taken);
            expect(late.map(({ outcome }) => outcome)).toEqual(Array(4).fill("Refused"));
            expect(Math.max(...late.map(({ tookMs }) => tookMs))).toBeLessThan(AT_ONCE_MS);
        });

        it("is accepted through the coordinator soon after that answers again", async () => {
            const scene = createRefusedScene();
            for (let index = 0; index < 5; index++) {
                scene.submit(`job${index}`);
                await scene.clock.runFor(1500);
            }
            scene.coordinator = () => Promise.resolve({ outcome: AppendOutcome.Appended });
            scene.submit("probing");
            await scene.clock.runFor(100);
            scene.submit("job");
            await scene.clock.runFor(100);
            expect(scene.outcomes.get("job")?.outcome).toBe("Accepted");
        });
    });

    describe("when the record was submitted before and may be in the store", () => {
        // Guards against a refusal of a job that runs: the caller submits it again after the answer "unknown".
        it("isn't refused", async () => {
            const scene = new AppenderScene();
            scene.memory.faults.lostAnswerShare = 1;
            scene.memory.faults.applyDelayMs = 5000;
            scene.submit("job", 1000);
            await scene.clock.runFor(1500);
            expect(scene.outcomes.get("job")?.outcome).toBe("Unknown");
            scene.memory.faults.isDown = true;
            scene.submit("other", 1000);
            await scene.clock.runFor(1500);
            scene.submit("job", 1000);
            scene.submit("new", 1000);
            await scene.clock.runFor(1500);
            expect(scene.outcomes.get("job")?.outcome).toBe("Unknown");
            expect(scene.outcomes.get("new")?.outcome).toBe("Refused");
            scene.memory.faults.isDown = false;
            await scene.clock.runFor(5000);
            expect(await scene.listStored()).toContain("job");
        });

        it("isn't refused while the earlier one is under way", async () => {
            const scene = new AppenderScene();
            scene.memory.faults.lostAnswerShare = 1;
            scene.memory.faults.applyDelayMs = 500;
            scene.submit("other");
            await scene.clock.runFor(100);
            scene.submit("job");
            await scene.clock.runFor(150);
            scene.memory.faults.isDown = true;
            scene.submit("job", 1500);
            await scene.clock.runFor(AT_ONCE_MS);
            expect(scene.outcomes.get("job")?.outcome).not.toBe("Refused");
        });
    });
});
