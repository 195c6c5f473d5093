import "reflect-metadata";
import { bindSharedParts, sharedIds } from "@sardinestage/bind-shared-parts";
import { Metrics } from "@sardinestage/count-metrics";
import { ConfigFollower } from "@sardinestage/follow-config";
import type { EventLogger } from "@sardinestage/log-events";
import { RequestIdTable } from "@sardinestage/remember-requests";
import { ByteBudget, TargetTable } from "@sardinestage/route-requests";
import { PeerPool, VmDirectory } from "@sardinestage/track-members";
import { Container } from "inversify";
import { CallerServer } from "./callerServer.js";
import { DomainForwarder } from "./domainForwarder.js";
import { Entry } from "./entry.js";
import type { EntrySettings } from "./entrySettings.js";
import { GrantPuller } from "./grantPuller.js";
import { IdReserver } from "./idReserver.js";
import { RequestRunner } from "./requestRunner.js";

const now = () => performance.now();
const pickRandom = Math.random;
const MAX_REMEMBERED_IDS = 1_000_000;

/**
 * Creates an entry process and its dependencies.
 *
 * @param settings The validated settings.
 * @returns The entry process, not started yet.
 */
export function createEntry(settings: EntrySettings): Entry {
    const container = new Container({ defaultScope: "Singleton" });
    bindSharedParts(container, settings, now);
    bindRequestParts(container, settings);
    return new Entry({
        settings,
        metrics: container.get(Metrics),
        logger: container.get<EventLogger>(sharedIds.logger),
        directory: container.get(VmDirectory),
        peers: container.get(PeerPool),
        config: container.get(ConfigFollower),
        requestIds: container.get(RequestIdTable),
        reserver: container.get(IdReserver),
        table: container.get(TargetTable),
        puller: container.get(GrantPuller),
        runner: container.get(RequestRunner),
        callers: container.get(CallerServer),
    });
}

function bindRequestParts(container: Container, settings: EntrySettings): void {
    const { domain, vm } = settings.process;
    const { entry, routing, crossDomain } = settings;
    container.bind(RequestIdTable).toDynamicValue(() =>
        new RequestIdTable({
            keepMs: entry.duplicateKeepMs,
            clockSkewMs: entry.clockSkewMs,
            maxIds: MAX_REMEMBERED_IDS,
            now: Date.now,
        })
    );
    container.bind(TargetTable).toDynamicValue(() => new TargetTable({ ...routing, now, pickRandom }));
    container.bind(IdReserver).toDynamicValue(({ get }) =>
        new IdReserver({
            domain,
            vm,
            requestIds: get(RequestIdTable),
            directory: get(VmDirectory),
            peers: get(PeerPool),
        })
    );
    container.bind(GrantPuller).toDynamicValue(({ get }) =>
        new GrantPuller({ domain, vm, table: get(TargetTable), directory: get(VmDirectory), peers: get(PeerPool), now })
    );
    container.bind(DomainForwarder).toDynamicValue(({ get }) =>
        new DomainForwarder({
            settings,
            directory: get(VmDirectory),
            config: get(ConfigFollower),
            byteBudget: new ByteBudget(crossDomain.bytesPerSecond, now),
            metrics: get(Metrics),
            now,
            pickRandom,
        })
    );
    container.bind(RequestRunner).toDynamicValue(({ get }) =>
        new RequestRunner({
            settings,
            table: get(TargetTable),
            config: get(ConfigFollower),
            reserver: get(IdReserver),
            forwarder: get(DomainForwarder),
            metrics: get(Metrics),
            now,
        })
    );
    container.bind(CallerServer).toDynamicValue(({ get }) => {
        const runner = get(RequestRunner);
        return new CallerServer({
            settings,
            metrics: get(Metrics),
            now,
            pickRandom,
            run: context => runner.run(context),
        });
    });
}
