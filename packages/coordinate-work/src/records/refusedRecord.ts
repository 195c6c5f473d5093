/** Why a record can never be written. */
export enum RefusedRecord {
    TooLarge = "too-large",
    Malformed = "malformed",
    Unencodable = "unencodable",
}
