export * from './gen/boragepoint/v1/peer_pb.js';
