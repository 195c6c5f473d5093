import { FrameKind } from "@sardinestage/exchange-frames";
import type { ConnectionGrant } from "@sardinestage/grant-connections";
import type { TargetTable } from "@sardinestage/route-requests";
import type { PeerPool, VmDirectory } from "@sardinestage/track-members";
import { z } from "zod";

interface GrantPullerOptions {
    readonly domain: string;
    readonly vm: string;
    readonly table: TargetTable;
    readonly directory: VmDirectory;
    readonly peers: PeerPool;
    readonly now: () => number;
}

const pullReply: z.ZodType<{ grants: ConnectionGrant[] }> = z.object({
    grants: z.array(z.object({
        worker: z.string(),
        token: z.number(),
        service: z.string(),
        address: z.string(),
        port: z.number(),
        limit: z.number().int().min(0),
        ttlMs: z.number().positive(),
    })),
});

/** Fetches connection grants from the schedulers of the failure domain. */
export class GrantPuller {
    constructor(private readonly options: GrantPullerOptions) {}

    /** Reports the use of current grants to each scheduler and applies the grants in its reply. */
    async pullAll(): Promise<void> {
        const { directory, domain, vm, peers, table, now } = this.options;
        // An empty name excludes no VM: the scheduler on this entry's own VM is asked too.
        const schedulers = directory.listSchedulerPeers(domain, "");
        await Promise.all(schedulers.map(async scheduler => {
            const sentAtMs = now();
            const body = { entry: vm, reports: table.listReports() };
            const reply = await peers.request(scheduler, FrameKind.PullGrants, body);
            const parsed = pullReply.safeParse(reply.ok ? reply.val : undefined);
            if (parsed.success) {
                table.applyGrants(scheduler.vm, parsed.data.grants, sentAtMs);
            }
        }));
    }
}
