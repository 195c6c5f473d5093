/** A team's share of the processors, as fractions of the whole fleet. */
export interface TeamQuota {
    readonly team: string;
    /** Share that the team gets whenever it asks; the sum over teams is at most 1. */
    readonly guaranteedShare: number;
    /** Share that the team can reach by borrowing. */
    readonly maximumShare: number;
}
