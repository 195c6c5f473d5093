import type { Clock } from "@sardinestage/describe-ports";
import type { Candidate, TermHolder } from "@sardinestage/keep-term";
import { computeWeakness } from "./computeWeakness.js";

/** Remembers when a process learnt of the newest known term, and whether it saw the takeover. */
export class HolderHistory {
    private holder: TermHolder | undefined;
    private hasSeenTakeover = false;
    /** When this process learnt of the newest term, in steady milliseconds. */
    knownSinceMs = -Infinity;

    constructor(private readonly clock: Clock, private readonly self: Candidate) {}

    /** Notes the holder of a later term than the last one noted. */
    noteHolder(holder: TermHolder): void {
        this.hasSeenTakeover = this.holder !== undefined;
        this.holder = holder;
        this.knownSinceMs = this.clock.getNow();
    }

    /**
     * Time since the last takeover, in milliseconds. One before this process began counts as recent only if this VM is
     * weaker than the coordinator's, so that it leaves the term to stronger VMs.
     */
    get termAgeMs(): number {
        const isWeaker = this.holder !== undefined && computeWeakness(this.self, [this.holder]) > 0;
        return this.hasSeenTakeover || isWeaker ? this.clock.getNow() - this.knownSinceMs : Infinity;
    }
}
