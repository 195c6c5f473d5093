import type { GrantLedger } from "@sardinestage/grant-connections";
import type { VmDirectory } from "@sardinestage/track-members";
import { z } from "zod";
import type { WorkerFleet } from "./workerFleet.js";

interface GrantServiceOptions {
    readonly domain: string;
    readonly grants: GrantLedger;
    readonly directory: VmDirectory;
    readonly fleet: WorkerFleet;
    readonly now: () => number;
}

const pullSchema = z.object({
    entry: z.string().min(1).max(200),
    reports: z.array(z.object({
        worker: z.string(),
        token: z.number(),
        service: z.string(),
        limit: z.number().int().min(0),
        inFlight: z.number().int().min(0),
    })).max(100_000),
});

/** Answers the pulls by which entries fetch their connection grants. */
export class GrantService {
    constructor(private readonly options: GrantServiceOptions) {}

    /**
     * Answers one pull of an entry.
     *
     * @param body The frame's body, unchecked.
     * @throws When the body is malformed.
     */
    answerPull(body: unknown): object {
        const { entry, reports } = pullSchema.parse(body);
        const { domain, grants, directory, fleet, now } = this.options;
        const entries = directory.listEntryVms(domain).map(vm => vm.vm);
        return { grants: grants.pullGrants(entry, entries, reports, fleet.listEndpoints(), now()) };
    }
}
