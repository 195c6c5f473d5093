/** What can be wrong between a scheduler and a worker. */
export type FakeLink = "up" | "cut" | "answersLost" | "late";
