import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import { createRandom } from "@sardinestage/emulate-platform";
import { ZonedInstallation } from "./testing/zonedInstallation.js";

const SEEDS = Array.from({ length: 24 }, (_unused, index) => 20261205 + index);
const ZONES = ZonedInstallation.zones;
const WORKERS_PER_ZONE = ZonedInstallation.workersPerZone;
const LASTING_TASKS = 6;
/** Length of a long cut, in milliseconds: far longer than every authority, lease and takeover. */
const LONG_CUT_MS = 20_000;
/** Time after which a VM's process that has ended is started again, in milliseconds. */
const RESTART_MS = 2000;
/** Least time that running work goes on after a VM has gone during an outage, in milliseconds: less than a lease. */
const LEAST_LEFT_MS = 4000;
/** Time after which the state of the others has settled after a cut began or ended, in milliseconds. */
const SETTLE_MS = 15_000;
const CUTS = 5;

/** Cuts at random in an installation of several zones. */
class PartitionScenario extends ZonedInstallation {
    constructor(private readonly random: () => number, getDuration: () => number, usesRelays = false) {
        super(random, getDuration, usesRelays);
    }

    /** Cuts zones off at random and ends that, beside outages of the store and failures of the coordinator. */
    async runCuts(): Promise<void> {
        const { harness, random } = this;
        for (let cut = 0; cut < CUTS; cut++) {
            this.submit(1 + Math.floor(random() * 6));
            await harness.clock.runFor(random() * 2000);
            const zone = ZONES[Math.floor(random() * ZONES.length)];
            harness.network.areVmLinksCut = random() < 0.7;
            harness.network.setZoneCut(zone, true);
            await harness.clock.runFor(random() * 9000);
            const choice = random();
            if (choice < 0.3) {
                this.setOutage(1000 + random() * 7000);
            }
            else if (choice < 0.5) {
                this.stopCoordinator();
            }
            this.submit(1 + Math.floor(random() * 6));
            await harness.clock.runFor(random() * 9000);
            if (random() < 0.7) {
                harness.network.setZoneCut(zone, false);
            }
        }
        ZONES.forEach(zone => harness.network.setZoneCut(zone, false));
        await harness.clock.runFor(45_000);
    }

    private setOutage(lengthMs: number): void {
        const { store, clock } = this.harness;
        store.faults.isDown = true;
        clock.schedule(lengthMs, () => store.faults.isDown = false);
    }

    private stopCoordinator(): void {
        const { harness, random } = this;
        const vm = harness.coordinator;
        if (vm !== undefined) {
            harness.stopVm(vm);
            harness.clock.schedule(500 + random() * 2500, () => harness.startVm(vm));
        }
    }
}

/** Starts an installation whose workers are busy, and takes the store away for all. */
async function startOutage(random: () => number): Promise<ZonedInstallation> {
    const installation = new ZonedInstallation(random, () => 600_000);
    const { harness } = installation;
    await installation.start("east");
    installation.submit(LASTING_TASKS, true);
    await harness.clock.runFor(3000);
    harness.store.faults.isDown = true;
    await harness.clock.runFor(500);
    return installation;
}

// Guards against a coordinator that is cut off and goes on to renew leases without end, while its successor starts the
// same tasks elsewhere.
describe("When zones are cut off from the store and from each other", () => {
    let random: () => number;

    beforeEach(() => {
        random = createRandom(20261205);
        jest.spyOn(Math, "random").mockImplementation(() => random());
    });

    afterEach(() => {
        jest.restoreAllMocks();
    });

    describe.each([
        ["and its links to the other VMs are cut too", true],
        ["but other VMs still reach it and tell it of its successor", false],
    ])("with the coordinator's zone among them, %s", (_title, areVmLinksCut) => {
        it("no task runs twice, and the zone's tasks run elsewhere", async () => {
            const installation = new PartitionScenario(random, () => 600_000);
            const { harness } = installation;
            await installation.start("east");
            expect(harness.coordinator).toBe("vm-east");
            installation.submit(LASTING_TASKS - WORKERS_PER_ZONE, true);
            await harness.clock.runFor(3000);
            harness.network.areVmLinksCut = areVmLinksCut;
            harness.network.setZoneCut("east", true);
            await harness.clock.runFor(LONG_CUT_MS);
            expect(harness.runChecker.violations).toEqual([]);
            expect(harness.runChecker.countActiveRuns()).toBe(LASTING_TASKS - WORKERS_PER_ZONE);
            harness.network.setZoneCut("east", false);
            await harness.clock.runFor(SETTLE_MS);
            expect(harness.runChecker.violations).toEqual([]);
            expect(harness.runChecker.countActiveRuns()).toBe(LASTING_TASKS - WORKERS_PER_ZONE);
        });
    });

    it("a successor that is cut off next keeps no task running either", async () => {
        const installation = new PartitionScenario(random, () => 600_000);
        const { harness } = installation;
        await installation.start("east");
        installation.submit(WORKERS_PER_ZONE, true);
        await harness.clock.runFor(3000);
        ["vm-home", "vm-home2"].forEach(vm => harness.stopVm(vm));
        harness.network.setZoneCut("east", true);
        await harness.clock.runFor(4000);
        expect(harness.coordinator).toBe("vm-west");
        ["vm-home", "vm-home2"].forEach(vm => harness.startVm(vm));
        await harness.clock.runFor(500);
        harness.network.setZoneCut("west", true);
        await harness.clock.runFor(LONG_CUT_MS);
        expect(harness.runChecker.violations).toEqual([]);
        expect(harness.runChecker.countActiveRuns()).toBe(WORKERS_PER_ZONE);
    });

    describe.each(SEEDS)("again and again, with seed %d", seed => {
        it.each([["directly", false], ["through relays", true]])(
            "no task that is ordered %s runs twice, and all end",
            async (_title, usesRelays) => {
                random = createRandom(seed);
                const draw = random;
                const installation = new PartitionScenario(random, () => 300 + draw() * 5000, usesRelays);
                await installation.start(ZONES[seed % 2]);
                await installation.runCuts();
                const { harness } = installation;
                expect(harness.runChecker.violations).toEqual([]);
                const tasks = [...harness.specs.values()].flatMap(spec => spec.steps.map(step => step.taskCount));
                expect(harness.runChecker.completedTasks.size).toBe(tasks.reduce((sum, count) => sum + count, 0));
            },
        );
    });
});

describe("When the store is away for all", () => {
    let random: () => number;

    beforeEach(() => {
        random = createRandom(20261205);
        jest.spyOn(Math, "random").mockImplementation(() => random());
    });

    afterEach(() => {
        jest.restoreAllMocks();
    });

    it("running work goes on for as long as all VMs reach each other", async () => {
        const installation = new PartitionScenario(random, () => 600_000);
        const { harness } = installation;
        await installation.start("east");
        installation.submit(LASTING_TASKS, true);
        await harness.clock.runFor(3000);
        harness.store.faults.isDown = true;
        await harness.clock.runFor(LONG_CUT_MS);
        expect(harness.runChecker.countActiveRuns()).toBe(LASTING_TASKS);
        harness.store.faults.isDown = false;
        await harness.clock.runFor(SETTLE_MS);
        expect(harness.events.filter(event => event.includes("Lapsed"))).toEqual([]);
        expect(harness.runChecker.violations).toEqual([]);
        expect(harness.runChecker.countActiveRuns()).toBe(LASTING_TASKS);
    });

    it("running work goes on beside VMs whose processes have ended and are started again", async () => {
        const { harness } = await startOutage(random);
        harness.stopVm("vm-home");
        await harness.clock.runFor(RESTART_MS);
        harness.startVm("vm-home");
        await harness.clock.runFor(LONG_CUT_MS);
        expect(harness.runChecker.countActiveRuns()).toBe(LASTING_TASKS);
        harness.store.faults.isDown = false;
        await harness.clock.runFor(SETTLE_MS);
        expect(harness.events.filter(event => event.includes("Lapsed"))).toEqual([]);
        expect(harness.runChecker.violations).toEqual([]);
        expect(harness.runChecker.countActiveRuns()).toBe(LASTING_TASKS);
    });

    it("running work goes on for a lease beside a VM that stays away, and is resumed with the store", async () => {
        const { harness } = await startOutage(random);
        harness.stopVm("vm-home");
        await harness.clock.runFor(LEAST_LEFT_MS);
        expect(harness.runChecker.countActiveRuns()).toBe(LASTING_TASKS);
        await harness.clock.runFor(LONG_CUT_MS);
        harness.store.faults.isDown = false;
        await harness.clock.runFor(SETTLE_MS);
        expect(harness.runChecker.violations).toEqual([]);
        expect(harness.runChecker.countActiveRuns()).toBe(LASTING_TASKS);
    });

    it("work is resumed afterwards if a VM was silent, which might have had the store", async () => {
        const installation = new PartitionScenario(random, () => 600_000);
        const { harness } = installation;
        await installation.start("east");
        installation.submit(WORKERS_PER_ZONE * 2, true);
        await harness.clock.runFor(3000);
        harness.network.setZoneCut("west", true);
        harness.store.faults.isDown = true;
        await harness.clock.runFor(LONG_CUT_MS);
        harness.store.faults.isDown = false;
        harness.network.setZoneCut("west", false);
        await harness.clock.runFor(SETTLE_MS);
        expect(harness.runChecker.violations).toEqual([]);
        expect(harness.runChecker.countActiveRuns()).toBe(WORKERS_PER_ZONE * 2);
    });
});
