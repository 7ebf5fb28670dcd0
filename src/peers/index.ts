/** Links between entries: who is there, messages, and requests with an answer. */
export { createPeers, type PeersOptions } from "./createPeers";
export type { Peer, PeerFailure, Peers } from "./peers";
