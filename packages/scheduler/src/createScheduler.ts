import "reflect-metadata";
import { bindSharedParts, sharedIds } from "@sardinestage/bind-shared-parts";
import type { LogPort } from "@sardinestage/call-platform";
import { HttpWorker } from "@sardinestage/call-platform";
import { Metrics } from "@sardinestage/count-metrics";
import { ConfigFollower } from "@sardinestage/follow-config";
import { TaskStream } from "@sardinestage/follow-tasks";
import { GrantLedger } from "@sardinestage/grant-connections";
import type { EventLogger } from "@sardinestage/log-events";
import { EvictionBudget } from "@sardinestage/plan-reactions";
import { PeerPool, VmDirectory } from "@sardinestage/track-members";
import type { VmRecord } from "@sardinestage/types";
import { VmState } from "@sardinestage/types";
import { Container } from "inversify";
import { randomUUID } from "node:crypto";
import { BehaviourModel } from "./behaviourModel.js";
import { CondemnationController } from "./condemnationController.js";
import { GrantService } from "./grantService.js";
import { Scheduler } from "./scheduler.js";
import { SchedulerMembers } from "./schedulerMembers.js";
import type { SchedulerSettings } from "./schedulerSettings.js";
import { TaskMaintenance } from "./taskMaintenance.js";
import { TaskPlacer } from "./taskPlacer.js";
import { WorkerFleet } from "./workerFleet.js";

const now = () => performance.now();
/** A peer that has missed this many status exchanges is ignored when owners are ranked. */
const MAX_MISSED_EXCHANGES = 3;

/**
 * Creates a scheduler with all its dependencies.
 *
 * @param settings The validated settings.
 * @returns The scheduler, not yet started.
 */
export function createScheduler(settings: SchedulerSettings): Scheduler {
    const container = new Container({ defaultScope: "Singleton" });
    bindSharedParts(container, settings, now);
    bindWorkerParts(container, settings);
    bindDecisionParts(container, settings);
    const scheduler = new Scheduler({
        settings,
        metrics: container.get(Metrics),
        logger: container.get<EventLogger>(sharedIds.logger),
        directory: container.get(VmDirectory),
        peers: container.get(PeerPool),
        config: container.get(ConfigFollower),
        stream: container.get(TaskStream),
        members: container.get(SchedulerMembers),
        fleet: container.get(WorkerFleet),
        placer: container.get(TaskPlacer),
        condemnationController: container.get(CondemnationController),
        maintenance: container.get(TaskMaintenance),
        grantService: container.get(GrantService),
    });
    return scheduler;
}

function bindWorkerParts(container: Container, settings: SchedulerSettings): void {
    const { process, leases, grants, reaction, peers } = settings;
    const holder = `${process.name}:${randomUUID()}`;
    container.bind(TaskStream).toDynamicValue(() =>
        new TaskStream({
            domain: process.domain,
            platform: settings.platform,
            log: container.get<LogPort>(sharedIds.log),
            metrics: container.get(Metrics),
            now,
        })
    );
    container.bind(BehaviourModel).toDynamicValue(() => new BehaviourModel(settings.placement.sizeQuantile));
    container.bind(GrantLedger).toDynamicValue(() =>
        new GrantLedger({ ...grants, clockMarginMs: leases.clockMarginMs })
    );
    container.bind(SchedulerMembers).toDynamicValue(() =>
        new SchedulerMembers({
            domain: process.domain,
            vm: process.vm,
            directory: container.get(VmDirectory),
            peers: container.get(PeerPool),
            now,
            silentAfterMs: peers.statusIntervalMs * MAX_MISSED_EXCHANGES,
            listCondemned: () => container.get(CondemnationController).listCondemned(),
            listSilent: () => container.get(WorkerFleet).listSilent(),
            isInContact: worker => container.get(WorkerFleet).findControl(worker)?.getToken() !== undefined,
        })
    );
    container.bind(WorkerFleet).toDynamicValue(() =>
        new WorkerFleet({
            settings,
            holder,
            stream: container.get(TaskStream),
            members: container.get(SchedulerMembers),
            behaviour: container.get(BehaviourModel),
            grants: container.get(GrantLedger),
            evictions: new EvictionBudget(reaction.evictionsPerMinute),
            metrics: container.get(Metrics),
            logger: container.get<EventLogger>(sharedIds.logger),
            now,
            createPort: vm => createWorkerPort(vm, leases.orderTimeoutMs),
            isLeaving: worker => checkLeaving(container, settings, worker),
            hasCapacityElsewhere: entry => container.get(TaskPlacer).hasCapacityElsewhere(entry),
            getConcurrency: service => findConcurrency(container, service),
            mayPreempt: (victim, urgent) => container.get(TaskPlacer).isPreemptionAllowed(victim, urgent),
        })
    );
    container.bind(CondemnationController).toDynamicValue(() =>
        new CondemnationController({
            isRemovedOrDrained: worker => checkRemovedOrDrained(container, settings, worker),
            settings,
            holder,
            stream: container.get(TaskStream),
            fleet: container.get(WorkerFleet),
            members: container.get(SchedulerMembers),
            metrics: container.get(Metrics),
            logger: container.get<EventLogger>(sharedIds.logger),
            now,
        })
    );
}

function bindDecisionParts(container: Container, settings: SchedulerSettings): void {
    container.bind(TaskPlacer).toDynamicValue(() =>
        new TaskPlacer({
            settings,
            stream: container.get(TaskStream),
            fleet: container.get(WorkerFleet),
            members: container.get(SchedulerMembers),
            behaviour: container.get(BehaviourModel),
            config: container.get(ConfigFollower),
            directory: container.get(VmDirectory),
            metrics: container.get(Metrics),
            now,
            isLeaving: worker => checkLeaving(container, settings, worker),
            pickRandom: Math.random,
        })
    );
    container.bind(TaskMaintenance).toDynamicValue(() =>
        new TaskMaintenance({
            log: container.get<LogPort>(sharedIds.log),
            settings,
            stream: container.get(TaskStream),
            config: container.get(ConfigFollower),
            members: container.get(SchedulerMembers),
            directory: container.get(VmDirectory),
            fleet: container.get(WorkerFleet),
        })
    );
    container.bind(GrantService).toDynamicValue(() =>
        new GrantService({
            domain: settings.process.domain,
            grants: container.get(GrantLedger),
            directory: container.get(VmDirectory),
            fleet: container.get(WorkerFleet),
            now,
        })
    );
}

function findConcurrency(container: Container, service: string): number {
    const { services } = container.get(ConfigFollower).history.getCurrent().document;
    return services.find(each => each.name === service)?.concurrency ?? 1;
}

function createWorkerPort(vm: VmRecord, timeoutMs: number): HttpWorker {
    return new HttpWorker(`http://${vm.address}:${vm.controlPort}`, timeoutMs);
}

/**
 * Whether the platform's VM list no longer contains a worker, or an operator drains it. While the list has not been
 * loaded, no worker counts as removed.
 */
function checkRemovedOrDrained(container: Container, settings: SchedulerSettings, worker: string): boolean {
    const directory = container.get(VmDirectory);
    const { drainedWorkers } = container.get(ConfigFollower).history.getCurrent().document;
    const isListed = directory.listWorkers(settings.process.domain).some(each => each.vm === worker);
    return directory.isLoaded() && !isListed || drainedWorkers.includes(worker);
}

/** A worker takes no new work when its VM is not live, is no longer listed, or is drained by an operator. */
function checkLeaving(container: Container, settings: SchedulerSettings, worker: string): boolean {
    const { drainedWorkers } = container.get(ConfigFollower).history.getCurrent().document;
    const vm = container.get(VmDirectory).listWorkers(settings.process.domain).find(each => each.vm === worker);
    return vm?.state !== VmState.Live || drainedWorkers.includes(worker);
}
