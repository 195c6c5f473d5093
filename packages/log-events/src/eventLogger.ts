/** Fields of one log line; ids go under their own names. */
type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one JSON line an event. */
export interface EventLogger {
    /** Something happened that an operator may want to follow. */
    info(event: string, fields?: EventFields): void;
    /** Something went wrong that the process copes with. */
    warn(event: string, fields?: EventFields): void;
    /** Something went wrong that needs a person. */
    error(event: string, fields?: EventFields): void;
}
