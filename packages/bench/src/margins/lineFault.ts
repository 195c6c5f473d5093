/** Why a line of a played day's log can't be counted. */
export enum LineFault {
    /** The line isn't of a process of this project, for example one of the report at the end of the log. */
    Foreign = "Foreign",
    /** The line has no second, isn't an event as JSON, or was cut off. */
    Unreadable = "Unreadable",
    /** A field that the tables need is missing or has another type. */
    FieldMissing = "FieldMissing",
    /** The line is longer than any line that a process writes. */
    TooLong = "TooLong",
}
