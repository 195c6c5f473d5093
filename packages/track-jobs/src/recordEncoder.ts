import { Encoder } from "cbor-x";

/** Writes and reads the product's own records. */
export const recordEncoder = new Encoder({ useRecords: false, mapsAsObjects: true });
