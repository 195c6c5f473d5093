/** State of the network link from a scheduler to a worker: working, cut, losing answers, delivering calls late, or start orders alone. */
export type FakeLink = "up" | "cut" | "answersLost" | "late" | "startsLate";
