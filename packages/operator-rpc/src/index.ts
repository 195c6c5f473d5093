export * from "./gen/sardinestage/v1/operator_pb.js";
