import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import { createRandom } from "@sardinestage/emulate-platform";
import { CutDirection } from "./testing/cutDirection.js";
import { ZonedInstallation } from "./testing/zonedInstallation.js";

const SEEDS = Array.from({ length: 32 }, (_unused, index) => 20261207 + index);
const ZONES = ZonedInstallation.zones;
const OTHER_VMS = ["vm-home", "vm-home2", "vm-west"];
const VMS = ["vm-east", ...OTHER_VMS];
const TOPICS = [Topic.Jobs, Topic.Progress, Topic.Workers, Topic.Term];
const DIRECTIONS = [CutDirection.Both, CutDirection.Both, CutDirection.Inbound, CutDirection.Outbound];
/** Duration of a run that lasts until it is stopped, in milliseconds. */
const LASTING_MS = 3_600_000;
const LASTING_TASKS = 4;
/** Length of a long cut, in milliseconds: far longer than every authority, lease and takeover. */
const LONG_CUT_MS = 20_000;
/** When the coordinator's links are cut, in milliseconds after the same moment between two renewals of the term. */
const CUT_DELAYS_MS = [0, 125, 250, 375];
/** Time from then until the coordinator loses the store too, in milliseconds: its successor wins at about this time. */
const STORE_CUT_DELAY_MS = 700;
/** Time after which a successor has ordered all starts that waited for its predecessor's leases, in milliseconds. */
const TAKEOVER_MS = 10_000;
const ROUNDS = 4;
const SETTLE_MS = 45_000;

/** Cuts, outages and failures at random, in which connections over a cut link are refused to some of the VMs. */
class RefusalScenario extends ZonedInstallation {
    constructor(private readonly random: () => number, usesRelays: boolean) {
        const getDuration = ({ jobId }: { readonly jobId: string }) =>
            jobId === "job0" ? LASTING_MS : 300 + random() * 4000;
        super(random, getDuration, usesRelays);
    }

    async run(): Promise<void> {
        const { clock } = this.harness;
        await this.start(this.pick(ZONES));
        this.submit(LASTING_TASKS, true);
        await clock.runFor(2000);
        for (let round = 0; round < ROUNDS; round++) {
            await this.runRound();
        }
        ZONES.forEach(zone => this.harness.network.setZoneCut(zone, false));
        await clock.runFor(SETTLE_MS);
    }

    private async runRound(): Promise<void> {
        const { harness, random } = this;
        const { clock } = harness;
        this.submit(1 + Math.floor(random() * 6));
        await clock.runFor(random() * 1500);
        if (random() < 0.4) {
            this.setOutage(random() * 1000, 1000 + random() * 7000);
        }
        await clock.runFor(random() * 600);
        const zone = this.pick(ZONES);
        this.injectCut(zone);
        if (random() < 0.3) {
            clock.schedule(random() * 3000, () => this.scheduleRestart());
        }
        if (random() < 0.3) {
            this.setOutage(random() * 3000, 1000 + random() * 7000);
        }
        this.submit(1 + Math.floor(random() * 6));
        await clock.runFor(1000 + random() * 11_000);
        if (random() < 0.8) {
            harness.network.setZoneCut(zone, false);
        }
        await clock.runFor(random() * 4000);
    }

    private injectCut(zone: string): void {
        const { random, harness: { network } } = this;
        network.refusedVms.clear();
        VMS.filter(() => random() < 0.6).forEach(vm => network.refusedVms.add(vm));
        network.vmsWithStore.clear();
        VMS.filter(() => random() < 0.3).forEach(vm => network.vmsWithStore.add(vm));
        network.areVmLinksCut = random() < 0.85;
        network.setZoneCut(zone, true, this.pick(DIRECTIONS));
    }

    /** Takes the store, or a topic of it, away for a time. */
    private setOutage(delayMs: number, lengthMs: number): void {
        const { random, harness: { clock, store: { faults } } } = this;
        const isWhole = random() < 0.5;
        const topics = random() < 0.5 ? faults.silentTopics : faults.refusedTopics;
        const topic = this.pick(TOPICS);
        clock.schedule(delayMs, () => isWhole ? faults.isDown = true : topics.add(topic));
        clock.schedule(delayMs + lengthMs, () => isWhole ? faults.isDown = false : topics.delete(topic));
    }

    /** Kills a VM's process and starts it again. */
    private scheduleRestart(): void {
        const { harness, random } = this;
        const vm = random() < 0.5 ? harness.coordinator : this.pick(harness.vms);
        if (vm !== undefined && harness.vms.includes(vm)) {
            harness.stopVm(vm);
            harness.clock.schedule(300 + random() * 3000, () => harness.startVm(vm));
        }
    }

    private pick<T>(items: readonly T[]): T {
        return items[Math.floor(this.random() * items.length)];
    }
}

/** Starts an installation whose coordinator's zone runs as many tasks as it has workers. */
async function startInstallation(random: () => number, usesRelays: boolean): Promise<ZonedInstallation> {
    const installation = new ZonedInstallation(random, () => LASTING_MS, usesRelays);
    await installation.start("east");
    expect(installation.harness.coordinator).toBe("vm-east");
    installation.submit(LASTING_TASKS, true);
    await installation.harness.clock.runFor(3000);
    return installation;
}

// Guards against a refused connection that is taken for proof that a process has ended (TWICE).
describe.each([
    ["directly", false],
    ["through relays", true],
])("When a cut refuses connections and workers are called %s", (_title, usesRelays) => {
    let random: () => number;

    beforeEach(() => {
        random = createRandom(20261207);
        jest.spyOn(Math, "random").mockImplementation(() => random());
    });

    afterEach(() => {
        jest.restoreAllMocks();
    });

    it("a coordinator without the store takes no VM that refuses it for ended, and runs nothing twice", async () => {
        const { harness } = await startInstallation(random, usesRelays);
        harness.network.refusedVms.add("vm-east");
        harness.network.setZoneCut("east", true);
        await harness.clock.runFor(LONG_CUT_MS);
        expect(harness.runChecker.violations).toEqual([]);
        expect(harness.runChecker.countActiveRuns()).toBe(LASTING_TASKS);
    });

    it.each(CUT_DELAYS_MS)(
        "a successor takes no predecessor that refuses it for ended, and runs nothing twice, cut after %d ms",
        async delayMs => {
            const { harness } = await startInstallation(random, usesRelays);
            OTHER_VMS.forEach(vm => harness.network.refusedVms.add(vm));
            harness.network.vmsWithStore.add("vm-east");
            await harness.clock.runFor(delayMs);
            harness.network.setZoneCut("east", true);
            await harness.clock.runFor(STORE_CUT_DELAY_MS);
            harness.network.vmsWithStore.clear();
            await harness.clock.runFor(TAKEOVER_MS);
            expect(harness.runChecker.violations).toEqual([]);
            expect(harness.runChecker.countActiveRuns()).toBe(LASTING_TASKS);
        },
    );

    it.each(SEEDS)("no task runs twice, all end and what lasts goes on, seed %d", async seed => {
        random = createRandom(seed);
        const scenario = new RefusalScenario(random, usesRelays);
        await scenario.run();
        const { runChecker, specs } = scenario.harness;
        expect(runChecker.violations).toEqual([]);
        const ending = [...specs].filter(([id]) => id !== "job0").map(([, spec]) => spec.steps[0].taskCount);
        expect(runChecker.completedTasks.size).toBe(ending.reduce((sum, count) => sum + count, 0));
        expect(runChecker.countActiveRuns()).toBe(LASTING_TASKS);
    });
});
