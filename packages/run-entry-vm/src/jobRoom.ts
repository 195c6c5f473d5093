import type { Clock } from "@sardinestage/describe-ports";

/** What the coordinator tells of its room counts for so long, in milliseconds: several follow requests. */
const MAX_AGE_MS = 2000;
/** Part of the room that all VMs together may use up before they learn of each other's jobs. */
const UNASKED_SHARE = 1 / 2;

/** The memory that new jobs may take of the coordinator, as it last told this VM. */
export class JobRoom {
    private bytes: number | undefined;
    private toldAtMs = -Infinity;

    constructor(private readonly clock: Clock) {}

    /**
     * Notes what a coordinator has told.
     *
     * @param bytes The memory, in bytes; undefined if it hasn't told of any.
     * @param atMs When it was asked, in steady milliseconds.
     */
    note(bytes: number | undefined, atMs: number): void {
        this.bytes = bytes;
        this.toldAtMs = atMs;
    }

    /**
     * Computes the part of the memory for the jobs of one VM, in bytes; undefined if nothing is known.
     *
     * @param vmCount Number of VMs that accept jobs.
     * @param here The memory that new jobs may take, if this VM coordinates.
     */
    computePart(vmCount: number, here: number | undefined): number | undefined {
        const told = this.clock.getNow() - this.toldAtMs < MAX_AGE_MS ? this.bytes : undefined;
        const bytes = here ?? told;
        return bytes === undefined ? undefined : bytes * UNASKED_SHARE / Math.max(1, vmCount);
    }
}
