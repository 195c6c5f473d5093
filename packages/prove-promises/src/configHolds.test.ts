import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { createConfig, LogFault, OperatorJsonClient, waitUntil } from "@sardinestage/stand-ins";
import type { Installation } from "@sardinestage/stand-ins";
import { testHarness } from "./testHarness.js";

/** Maximum time until an accepted configuration is active in every process, in milliseconds. */
const PROPAGATION_TIMEOUT_MS = 14_000;
const POLL_INTERVAL_MS = 25;

let installation: Installation;

beforeEach(async () => {
    installation = await testHarness.start({}, { replicas: 0 });
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

/** Polls the active configuration version of each process and records every decrease. */
function startVersionWatch(): { stop: () => Promise<string[]> } {
    const highestVersions = new Map<number, number>();
    const decreases: string[] = [];
    let isWatching = true;
    const loops = listStatusPorts().map(async port => {
        while (isWatching) {
            const version = await readVersion(port);
            if (version > 0 && version < (highestVersions.get(port) ?? 0)) {
                decreases.push(`port ${port} went from ${highestVersions.get(port)} to ${version}`);
            }
            highestVersions.set(port, Math.max(version, highestVersions.get(port) ?? 0));
            await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
        }
    });
    return {
        stop: async () => {
            isWatching = false;
            await Promise.all(loops);
            return decreases;
        },
    };
}

function waitForVersion(version: number): Promise<number> {
    return waitUntil(`version ${version} is active in every process`, async () => {
        const versions = await Promise.all(listStatusPorts().map(readVersion));
        return versions.every(each => each >= version);
    }, PROPAGATION_TIMEOUT_MS);
}

describe("an accepted configuration", () => {
    describe("when operators race, answers are lost and processes restart", () => {
        it("becomes active in every process in time, and no process returns to an older version", async () => {
            const watch = startVersionWatch();
            const admins = [...installation.entryVms.values()].map(({ ports }) => new OperatorJsonClient(ports.admin));
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
        it("is one of the two, and the other call fails with a conflict", async () => {
            const admins = [...installation.entryVms.values()].map(({ ports }) => new OperatorJsonClient(ports.admin));
            const answers = await Promise.all(
                admins.map((admin, i) =>
                    admin.call("PublishConfig", { changeId: `race-${i}`, basedOn: 1, config: createChange(i / 10) })
                ),
            );
            expect(answers.filter(answer => answer.ok).length).toBe(1);
            expect(answers.find(answer => !answer.ok)?.body.code).toBe("aborted");
        });

        it("gets the same answer when a call is repeated with its change id", async () => {
            const [{ ports }] = installation.entryVms.values();
            const call = { changeId: "again", basedOn: 1, config: createChange(0.2) };
            const first = await new OperatorJsonClient(ports.admin).call("PublishConfig", call);
            const second = await new OperatorJsonClient(ports.admin).call("PublishConfig", call);
            expect([first.body, second.body]).toEqual([{ version: 2 }, { version: 2 }]);
        });
    });

    describe("when a process starts while the log is unavailable", () => {
        it("is fetched from the peers", async () => {
            const [{ ports, entry }] = installation.entryVms.values();
            expect((await new OperatorJsonClient(ports.admin).publishConfig("before", createChange(0.3))).ok).toBe(
                true,
            );
            await waitForVersion(2);
            installation.log.fault = LogFault.Unavailable;
            entry.sendSignal("SIGKILL");
            await entry.waitForExit();
            entry.start();
            await waitForVersion(2);
            installation.log.fault = LogFault.None;
        });
    });
});
