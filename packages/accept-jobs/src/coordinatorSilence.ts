/** Why the coordinator gave no answer to a question. */
export enum CoordinatorSilence {
    /** The call was sent and has had no answer so far. */
    TimedOut = "timed-out",
    /** The call ended without an answer: its timeout passed or its connection broke. */
    Unanswered = "unanswered",
    /** The call wasn't sent: no coordinator is known, or its address refuses connections. */
    Unsent = "unsent",
    /** The call wasn't sent, because several earlier ones had no answer. */
    CircuitOpen = "circuit-open",
    /** The coordinator, or a peer that relayed the call, couldn't tell. */
    Unsure = "unsure",
}
