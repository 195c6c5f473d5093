/** Faults of a proxied link. */
export enum LinkFault {
    None = "none",
    /** New connections are closed at once and open ones are closed. */
    Refused = "refused",
    /** All bytes and closes are dropped on old and new connections; neither end is notified. */
    Cut = "cut",
    /** Connections that are open now forward nothing any more, even after the fault ends; new ones work. */
    OpenSilent = "open-silent",
    /** Bytes from the server to the client are dropped. */
    AnswersDropped = "answers-dropped",
}
