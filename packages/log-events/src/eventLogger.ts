/** Fields of one log line; each id has a field of its own. */
type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one JSON line per event. */
export interface EventLogger {
    /** Logs a normal event that an operator may want to follow. */
    info(event: string, fields?: EventFields): void;
    /** Logs a problem that the process handles by itself. */
    warn(event: string, fields?: EventFields): void;
    /** Logs a problem that needs an operator. */
    error(event: string, fields?: EventFields): void;
}
