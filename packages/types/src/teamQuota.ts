/** A team's shares of the processors, as fractions of all processors of the fleet. */
export interface TeamQuota {
    readonly team: string;
    /** Share that the team gets whenever it asks for it; the sum over all teams is at most 1. */
    readonly guaranteedShare: number;
    /** Largest share that the team can reach by borrowing from other teams. */
    readonly maximumShare: number;
}
