/** State of the network link from a scheduler to a worker: working, cut, losing answers, or delivering calls late. */
export type FakeLink = "up" | "cut" | "answersLost" | "late";
