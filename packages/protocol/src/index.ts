export * from './gen/boragepoint/v1/peer_pb.js';
export * from './gen/boragepoint/v1/placement_pb.js';
