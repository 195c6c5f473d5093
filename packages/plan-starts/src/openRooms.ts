import type { RankedRoom } from "./rankedRoom.js";
import type { RoomRanking } from "./roomRanking.js";

/** A ranking as one step sees it, which may not use every room; a room once passed over stays so for the step. */
export class OpenRooms {
    private readonly passed: RankedRoom[] = [];

    constructor(private readonly ranking: RoomRanking, private readonly isOpen: (entry: RankedRoom) => boolean) {}

    /** Takes the best room out that the step may use. */
    removeBest(): RankedRoom | undefined {
        let best = this.ranking.removeBest();
        while (best !== undefined && !this.isOpen(best)) {
            this.passed.push(best);
            best = this.ranking.removeBest();
        }
        return best;
    }

    /** Puts a room back that was taken out and not used. */
    restore(entry: RankedRoom): void {
        this.ranking.restore(entry);
    }

    /** Gives the rooms that were passed over back to the other steps. */
    close(): void {
        this.passed.forEach(entry => this.ranking.restore(entry));
        this.passed.length = 0;
    }
}
