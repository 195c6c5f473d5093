/** What can be wrong with a link through the proxy. */
export enum LinkFault {
    None = "none",
    /** New connections are refused and open ones closed. */
    Refused = "refused",
    /** Nothing passes, old connections or new, and nobody is told. */
    Cut = "cut",
    /** Connections that are open now go silent for good; new ones work. */
    OpenSilent = "open-silent",
    /** What the far end answers is dropped. */
    AnswersDropped = "answers-dropped",
}
