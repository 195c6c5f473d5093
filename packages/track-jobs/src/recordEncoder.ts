import { Encoder } from "cbor-x";

/** CBOR encoder and decoder for the records whose format the scheduler itself defines. */
export const recordEncoder = new Encoder({ useRecords: false, mapsAsObjects: true });
