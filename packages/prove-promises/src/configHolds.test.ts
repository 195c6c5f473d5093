import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { createConfig, LogFault, OperatorCalls, waitUntil } from "@sardinestage/stand-ins";
import type { Installation } from "@sardinestage/stand-ins";
import { testBed } from "./testBed.js";

/** The bound on a change's way into force everywhere, in milliseconds. */
const IN_FORCE_MS = 14_000;
const WATCH_MS = 25;

let installation: Installation;

beforeEach(async () => {
    installation = await testBed.start({}, { replicas: 0 });
});

afterEach(async () => {
    expect(installation.recorder.violations).toEqual([]);
    await installation.close();
});

function createChange(batchShare: number): object {
    return createConfig({ services: {}, serviceMs: 1, concurrency: 1, batchShare });
}

function listStatusPorts(): number[] {
    return [...installation.entryVms.values()].flatMap(({ ports }) => [ports.entryMetrics, ports.schedulerMetrics]);
}

async function readVersion(port: number): Promise<number> {
    const status = await installation.readStatus(port).catch(() => ({ configVersion: 0 }));
    return Number(status.configVersion);
}

/** Watches the version in each process and notes where one falls. */
function startWatch(): { stop: () => Promise<string[]> } {
    const newest = new Map<number, number>();
    const falls: string[] = [];
    let isWatching = true;
    const loops = listStatusPorts().map(async port => {
        while (isWatching) {
            const version = await readVersion(port);
            if (version > 0 && version < (newest.get(port) ?? 0)) {
                falls.push(`port ${port} fell from ${newest.get(port)} to ${version}`);
            }
            newest.set(port, Math.max(version, newest.get(port) ?? 0));
            await new Promise(resolve => setTimeout(resolve, WATCH_MS));
        }
    });
    return {
        stop: async () => {
            isWatching = false;
            await Promise.all(loops);
            return falls;
        },
    };
}

function waitForVersion(version: number): Promise<number> {
    return waitUntil(`version ${version} is in force everywhere`, async () => {
        const versions = await Promise.all(listStatusPorts().map(readVersion));
        return versions.every(each => each >= version);
    }, IN_FORCE_MS);
}

describe("an accepted configuration", () => {
    describe("when operators race, answers are lost and processes restart", () => {
        it("is in force everywhere in time and never falls back", async () => {
            const watch = startWatch();
            const admins = [...installation.entryVms.values()].map(({ ports }) => new OperatorCalls(ports.admin));
            let accepted = 0;
            for (let round = 0; round < 8; round++) {
                installation.log.fault = round % 2 === 0 ? LogFault.AnswersLost : LogFault.None;
                const answers = await Promise.all(
                    admins.map((admin, i) =>
                        admin.publishConfig(`round-${round}-${i}`, createChange((round * 2 + i) / 100))
                    ),
                );
                accepted += answers.filter(answer => answer.ok).length;
                if (round === 3) {
                    const { entry } = installation.getEntryVm("gent-haven-e0");
                    entry.sendSignal("SIGKILL");
                    await entry.waitForExit();
                    entry.start();
                }
            }
            installation.log.fault = LogFault.None;
            expect(accepted).toBeGreaterThanOrEqual(8);
            await waitForVersion(1 + accepted);
            expect(await watch.stop()).toEqual([]);
        });
    });

    describe("when two operators change the same version", () => {
        it("is one of the two, and the other is told of the conflict", async () => {
            const admins = [...installation.entryVms.values()].map(({ ports }) => new OperatorCalls(ports.admin));
            const answers = await Promise.all(
                admins.map((admin, i) =>
                    admin.call("PublishConfig", { changeId: `race-${i}`, basedOn: 1, config: createChange(i / 10) })
                ),
            );
            expect(answers.filter(answer => answer.ok).length).toBe(1);
            expect(answers.find(answer => !answer.ok)?.body.code).toBe("aborted");
        });

        it("is told the same when a call is repeated with its id", async () => {
            const [{ ports }] = installation.entryVms.values();
            const call = { changeId: "again", basedOn: 1, config: createChange(0.2) };
            const first = await new OperatorCalls(ports.admin).call("PublishConfig", call);
            const second = await new OperatorCalls(ports.admin).call("PublishConfig", call);
            expect([first.body, second.body]).toEqual([{ version: 2 }, { version: 2 }]);
        });
    });

    describe("when a process starts while the log is out", () => {
        it("comes from the peers", async () => {
            const [{ ports, entry }] = installation.entryVms.values();
            expect((await new OperatorCalls(ports.admin).publishConfig("before", createChange(0.3))).ok).toBe(true);
            await waitForVersion(2);
            installation.log.fault = LogFault.Out;
            entry.sendSignal("SIGKILL");
            await entry.waitForExit();
            entry.start();
            await waitForVersion(2);
            installation.log.fault = LogFault.None;
        });
    });
});
