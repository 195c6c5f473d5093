/** How urgent work is within its kind; a higher number goes first. */
export enum Urgency {
    Low = 0,
    Normal = 1,
    High = 2,
    Critical = 3,
}
