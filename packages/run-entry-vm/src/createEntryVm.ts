import { JobService, JobStateCache, JobStateReader, RecordAppender } from "@sardinestage/accept-jobs";
import { Coordinator } from "@sardinestage/coordinate-work";
import { FrameKind } from "@sardinestage/exchange-frames";
import { TermLog } from "@sardinestage/keep-term";
import type { RelayReply } from "@sardinestage/relay-orders";
import { OrderRelay, RelayedWorkerPort } from "@sardinestage/relay-orders";
import { EventLoopMonitor, WorkMeter } from "@sardinestage/watch-loop";
import type { ResolutionContext } from "inversify";
import { Container } from "inversify";
import { chooseGatherTime } from "./chooseGatherTime.js";
import { ConfigKeeper } from "./configKeeper.js";
import { EntryVm } from "./entryVm.js";
import type { EntryVmParts } from "./entryVmParts.js";
import { Followers } from "./followers.js";
import { JobFactFollower } from "./jobFactFollower.js";
import { LoadReporter } from "./loadReporter.js";
import { LocalCoordinator } from "./localCoordinator.js";
import { Membership } from "./membership.js";
import { Peers } from "./peers.js";

/** Creates the components of an entry VM's process and connects them. */
export function createEntryVm(parts: EntryVmParts): EntryVm {
    const container = new Container({ defaultScope: "Singleton" });
    container.bind(Peers).toConstantValue(new Peers(parts.peerKey));
    container.bind(Followers).toConstantValue(new Followers());
    container.bind(EventLoopMonitor).toConstantValue(new EventLoopMonitor(parts.clock));
    container.bind(WorkMeter).toConstantValue(new WorkMeter(parts.clock));
    container.bind(ConfigKeeper).toConstantValue(new ConfigKeeper(parts));
    container.bind(TermLog).toConstantValue(new TermLog(parts.store, parts.self, parts.clock));
    container.bind(LocalCoordinator).toDynamicValue(context =>
        new LocalCoordinator({
            ...parts,
            termLog: context.get(TermLog),
            followers: context.get(Followers),
            jobStateCache: context.get(JobStateCache),
            getResponsiveTime: () => context.get(EventLoopMonitor).getResponsiveTime(),
            findQueue: name => context.get(ConfigKeeper).config?.queues.find(queue => queue.name === name),
            createCoordinator: termParts =>
                new Coordinator({
                    ...parts,
                    ...termParts,
                    workers: createWorkerPort(parts, context, termParts.term),
                    rules: parts.coordinatorRules,
                    evacuations: context.get(ConfigKeeper).evacuations.view,
                    getLoopDelay: () => context.get(EventLoopMonitor).averageDelayMs,
                    meter: context.get(WorkMeter),
                }),
        })
    ).inSingletonScope();
    container.bind(Membership).toDynamicValue(context =>
        new Membership({
            ...parts,
            termLog: context.get(TermLog),
            localCoordinator: context.get(LocalCoordinator),
            peers: context.get(Peers),
            followers: context.get(Followers),
            config: context.get(ConfigKeeper),
            jobFacts: new JobFactFollower(context.get(JobStateCache)),
            loopMonitor: context.get(EventLoopMonitor),
        })
    ).inSingletonScope();
    container.bind(OrderRelay).toDynamicValue(context =>
        new OrderRelay({
            ...parts,
            getLoopDelay: () => context.get(EventLoopMonitor).averageDelayMs,
            getKnownTerm: () => context.get(Membership).knownTerm,
        })
    ).inSingletonScope();
    container.bind(LoadReporter).toDynamicValue(context =>
        new LoadReporter({
            ...parts,
            loopMonitor: context.get(EventLoopMonitor),
            meter: context.get(WorkMeter),
            isCoordinator: () => context.get(Membership).isCoordinator,
        })
    ).inSingletonScope();
    container.bind(RecordAppender).toDynamicValue(context =>
        new RecordAppender({
            ...parts,
            limits: parts.coordinatorRules.storeLimits,
            coordinatorClient: context.get(Membership),
        })
    )
        .inSingletonScope();
    container.bind(JobStateCache).toConstantValue(
        new JobStateCache(parts.clock, parts.coordinatorRules.keepFinishedMs),
    );
    container.bind(JobStateReader).toDynamicValue(context =>
        new JobStateReader({ ...parts, jobStateCache: context.get(JobStateCache) })
    )
        .inSingletonScope();
    container.bind(JobService).toDynamicValue(context =>
        new JobService({
            ...parts,
            recordAppender: context.get(RecordAppender),
            stateReader: context.get(JobStateReader),
            jobStateCache: context.get(JobStateCache),
            coordinatorClient: context.get(Membership),
            getFreeJobBytes: () => context.get(Membership).freeJobBytes,
        })
    ).inSingletonScope();
    return new EntryVm({
        ...parts,
        membership: container.get(Membership),
        config: container.get(ConfigKeeper),
        peers: container.get(Peers),
        jobService: container.get(JobService),
        orderRelay: container.get(OrderRelay),
        loopMonitor: container.get(EventLoopMonitor),
        loadReporter: container.get(LoadReporter),
    });
}

/** Creates the port through which the coordinator of a term calls workers. */
function createWorkerPort(parts: EntryVmParts, context: ResolutionContext, term: number): RelayedWorkerPort {
    const port = new RelayedWorkerPort({
        ...parts,
        direct: parts.workers,
        term,
        incarnation: parts.self.incarnation,
        listRelays: () => context.get(Membership).relays,
        sendRequest: async (relay, request, timeoutMs) => {
            const answer = await context.get(Peers).request(relay, FrameKind.RelayOrders, request, timeoutMs);
            return answer.hasAnswered ? answer.body as RelayReply : undefined;
        },
        getGatherMs: () => chooseGatherTime(context.get(EventLoopMonitor).averageDelayMs),
        isTermHeld: () => context.get(LocalCoordinator).holder?.term === term,
        getWorkerCount: () => context.get(LocalCoordinator).workerCount,
        isEvacuated: domain => context.get(ConfigKeeper).evacuations.view.isEvacuated(domain),
    });
    port.openSessions();
    return port;
}
