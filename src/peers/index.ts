/** Links between entries: connected peers, one-way messages, and requests with an answer. */
export { chooseLinks } from "./chooseLinks";
export { createPeers, type PeerCertificates, type PeersOptions } from "./createPeers";
export type { Peer, PeerFailure, Peers, PeerTraffic } from "./peers";
