/** Urgency of a task among the tasks of its kind; a higher number is more urgent. */
export enum Urgency {
    Low = 0,
    Normal = 1,
    High = 2,
    Critical = 3,
}
