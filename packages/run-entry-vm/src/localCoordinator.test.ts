import { describe, expect, it } from "@jest/globals";
import { CoordinatorCallKind, JobStateCache } from "@sardinestage/accept-jobs";
import type { Coordinator } from "@sardinestage/coordinate-work";
import type { StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, waitFor } from "@sardinestage/describe-ports";
import type { JobSpec, QueueConfig } from "@sardinestage/describe-work";
import { ExplainOutcome } from "@sardinestage/describe-work";
import { VirtualClock } from "@sardinestage/emulate-platform";
import type { TermLog } from "@sardinestage/keep-term";
import { EarlierTerm, Instant, RenewalOutcome } from "@sardinestage/keep-term";
import { silentLogger } from "@sardinestage/log-events";
import { defaultRules } from "./defaultRules.js";
import { Followers } from "./followers.js";
import { LocalCoordinator } from "./localCoordinator.js";
import type { TermParts } from "./termParts.js";

const RENEWAL_TIMEOUT_MS = 600;
const FAILING_MS = 1500;
const KEEP_MS = 120_000;
const holder = { term: 7, vm: "vm", incarnation: "vm", host: "host", port: 1, strength: 1 };

/**
 * Lets the renewals of a term fail by timeouts for a while.
 *
 * @param responsiveShare Share of the time in which the process's event loop isn't stalled.
 * @returns How long the store counts as lost after that, in milliseconds.
 */
async function measureStoreLost(responsiveShare: number): Promise<number> {
    const clock = new VirtualClock();
    const coordinator = { open: () => Promise.resolve(true), close: () => undefined, hasUnrecordedStarts: false };
    const local = new LocalCoordinator({
        termLog: {
            renew: () => waitFor(clock, RENEWAL_TIMEOUT_MS).then(() => RenewalOutcome.Failed),
            readTerm: () => waitFor(clock, RENEWAL_TIMEOUT_MS).then(() => undefined),
        } as unknown as TermLog,
        store: {} as StorePort,
        clock,
        logger: silentLogger,
        rules: defaultRules,
        followers: new Followers(),
        jobStateCache: new JobStateCache(clock, KEEP_MS),
        getResponsiveTime: () => clock.getNow() * responsiveShare,
        createCoordinator: () => coordinator as unknown as Coordinator,
    });
    await local.start(holder, Instant.readNow(clock), false, new EarlierTerm(clock, 0));
    await clock.runFor(defaultRules.renewMs + FAILING_MS);
    const { storeLostMs } = local;
    local.stop(holder.term, "end of test");
    return storeLostMs;
}

describe("LocalCoordinator", () => {
    describe("as a source of fencing tokens", () => {
        it("offers a coordinator no token of its process's next term", async () => {
            const clock = new VirtualClock();
            const termLog = { newestFence: 9, renew: () => Promise.resolve(RenewalOutcome.Renewed) };
            const created: TermParts[] = [];
            const local = new LocalCoordinator({
                termLog: termLog as unknown as TermLog,
                store: {} as StorePort,
                clock,
                logger: silentLogger,
                rules: defaultRules,
                followers: new Followers(),
                jobStateCache: new JobStateCache(clock, KEEP_MS),
                getResponsiveTime: () => clock.getNow(),
                createCoordinator: termParts => {
                    created.push(termParts);
                    return { open: () => Promise.resolve(true), close: () => undefined } as unknown as Coordinator;
                },
            });
            await local.start(holder, Instant.readNow(clock), false, new EarlierTerm(clock, 0));
            expect(created.map(termParts => termParts.getNewestFence())).toEqual([9]);
            local.stop(holder.term, "lost");
            termLog.newestFence = 30;
            await local.start({ ...holder, term: 29 }, Instant.readNow(clock), false, new EarlierTerm(clock, 0));
            expect(created.map(termParts => termParts.getNewestFence())).toEqual([holder.term, 30]);
            local.stop(29, "end of test");
        });
    });

    describe("when another VM finds out whether it answers", () => {
        // Guards against an append without records, which the store may refuse or take for a change of the writer.
        it("answers without the store", async () => {
            const clock = new VirtualClock();
            const local = new LocalCoordinator({
                termLog: {} as TermLog,
                store: {} as StorePort,
                clock,
                logger: silentLogger,
                rules: defaultRules,
                followers: new Followers(),
                jobStateCache: new JobStateCache(clock, KEEP_MS),
                getResponsiveTime: () => clock.getNow(),
                createCoordinator: () => ({}) as unknown as Coordinator,
            });
            const reply = await local.answer({ kind: CoordinatorCallKind.Append, records: [] });
            expect(reply).toEqual({ outcome: AppendOutcome.Appended });
        });
    });

    describe("when it is asked to explain a placement", () => {
        // Guards against a job or queue from outside that reaches the planning rules unchecked.
        it("passes accepted ids on, and refuses an unknown queue and an invalid job", async () => {
            const clock = new VirtualClock();
            const queue = { name: "known" } as QueueConfig;
            const explanation = { outcome: ExplainOutcome.Explained, mayStart: true, steps: [], leftOutCount: 0 };
            const questions: object[] = [];
            const explain = (question: object) => {
                questions.push(question);
                return explanation;
            };
            const local = new LocalCoordinator({
                termLog: { renew: () => Promise.resolve(RenewalOutcome.Renewed) } as unknown as TermLog,
                store: {} as StorePort,
                clock,
                logger: silentLogger,
                rules: defaultRules,
                followers: new Followers(),
                jobStateCache: new JobStateCache(clock, KEEP_MS),
                getResponsiveTime: () => clock.getNow(),
                findQueue: name => name === queue.name ? queue : undefined,
                createCoordinator: () => ({
                    open: () => Promise.resolve(true),
                    close: () => undefined,
                    isReady: true,
                    explainer: { explain },
                } as unknown as Coordinator),
            });
            await local.start(holder, Instant.readNow(clock), false, new EarlierTerm(clock, 0));
            const kind = CoordinatorCallKind.Explain;
            const spec = { steps: [{}] } as unknown as JobSpec;
            const invalid = { steps: [{ dependsOn: [3] }] } as unknown as JobSpec;
            expect(await local.answer({ kind, id: "job" })).toEqual({ explanation });
            expect(await local.answer({ kind, spec, queue: "known" })).toEqual({ explanation });
            expect((await local.answer({ kind, spec, queue: "other" })).explanation?.outcome)
                .toBe(ExplainOutcome.UnknownQueue);
            expect((await local.answer({ kind, spec: invalid, queue: "known" })).explanation?.outcome)
                .toBe(ExplainOutcome.InvalidJob);
            expect(questions).toMatchObject([{ id: "job" }, { queue }]);
            local.stop(holder.term, "end of test");
            expect(await local.answer({ kind, id: "job" })).toEqual({ isUnsure: true });
        });
    });

    describe("when it renews its term", () => {
        it("says that leases are bound once those of an earlier version would have ended as early", async () => {
            const clock = new VirtualClock();
            const areLeasesBound: (boolean | undefined)[] = [];
            const termLog: Pick<TermLog, "renew"> = {
                renew: (...[, , , isBound]) => {
                    areLeasesBound.push(isBound);
                    return Promise.resolve(RenewalOutcome.Renewed);
                },
            };
            const coordinator = { open: () => Promise.resolve(true), close: () => undefined };
            const local = new LocalCoordinator({
                termLog: termLog as TermLog,
                store: {} as StorePort,
                clock,
                logger: silentLogger,
                rules: defaultRules,
                followers: new Followers(),
                jobStateCache: new JobStateCache(clock, KEEP_MS),
                getResponsiveTime: () => clock.getNow(),
                createCoordinator: () => coordinator as unknown as Coordinator,
            });
            await local.start(holder, Instant.readNow(clock), false, new EarlierTerm(clock, 0));
            await clock.runFor(defaultRules.renewMs * 3 + 1);
            local.stop(holder.term, "end of test");
            expect(areLeasesBound).toEqual([false, true, true]);
        });
    });

    describe("when its renewals get no answer in time", () => {
        it("counts the store as lost, so that a VM that has the store takes over", async () => {
            expect(await measureStoreLost(1)).toBeGreaterThan(defaultRules.storeSilenceMs);
        });

        it("doesn't while its own event loop is stalled most of the time", async () => {
            expect(await measureStoreLost(0.3)).toBeLessThan(defaultRules.storeSilenceMs);
        });
    });
});
