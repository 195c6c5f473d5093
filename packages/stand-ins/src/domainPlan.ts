/** Size and location of one failure domain of a stand-in installation. */
export interface DomainPlan {
    readonly domain: string;
    readonly region: string;
    readonly entryVms: number;
    readonly workers: number;
    readonly workersPerRack: number;
}
