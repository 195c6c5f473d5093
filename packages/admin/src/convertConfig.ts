import type { MessageInitShape } from "@bufbuild/protobuf";
import type { ConfigVersion } from "@sardinestage/fold-config";
import type { Config, ConfigVersionSchema, Resources as ResourcesMessage, Service } from "@sardinestage/operator-rpc";
import type { ConfigDocument, Resources, ServiceSpec } from "@sardinestage/types";

/** Converts between the messages of the operators' API and the types of the configuration. */
export const convertConfig = {
    fromMessage: (config: Config | undefined): ConfigDocument => ({
        services: config?.services.map(convertService) ?? [],
        teams: config?.teams.map(({ team, guaranteedShare, maximumShare }) => ({
            team,
            guaranteedShare,
            maximumShare,
        })) ?? [],
        batchShare: config?.batchShare ?? 0,
        drainedWorkers: config?.drainedWorkers ?? [],
    }),
    toMessage: (version: ConfigVersion): MessageInitShape<typeof ConfigVersionSchema> => ({
        version: version.version,
        operator: version.operator,
        acceptedAtMs: BigInt(Math.round(version.acceptedAtMs)),
        config: {
            ...version.document,
            services: version.document.services.map(service => ({ ...service, replicas: { ...service.replicas } })),
            teams: [...version.document.teams],
            drainedWorkers: [...version.document.drainedWorkers],
        },
    }),
    serviceFromMessage: convertService,
    resourcesFromMessage: convertResources,
};

function convertService(service: Service): ServiceSpec {
    const { name, team, replicas, size, concurrency, payload } = service;
    return { name, team, replicas, size: convertResources(size), concurrency, payload };
}

function convertResources(size: ResourcesMessage | undefined): Resources {
    return {
        cpuMillis: size?.cpuMillis ?? 0,
        memoryMb: size?.memoryMb ?? 0,
        accelerators: size?.accelerators ?? 0,
        slots: size?.slots ?? 0,
    };
}
