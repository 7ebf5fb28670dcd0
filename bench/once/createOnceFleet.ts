import { createIdempotencyGuard, type IdempotencyGuard } from "../../src/once";
import type { Platform } from "../../src/platform";
import { createFakeNetwork, createFakePlatform, type FakePlatform } from "../../standins/fakes";

/** Entries of which only the guard against second runs is there, over a fake platform and fake links. */
export interface OnceFleet {
    readonly platform: FakePlatform;
    readonly entries: readonly { readonly once: IdempotencyGuard; readonly platform: Platform; }[];
}

export function createOnceFleet(count: number): OnceFleet {
    const platform = createFakePlatform();
    const network = createFakeNetwork();
    const entries = Array.from({ length: count }, (_, at) => {
        const boot = `boot-${at}`;
        const peer = { boot, instance: `entry-${at}`, region: "north", zone: "zone-a", peerUrl: `ws://${boot}` };
        const client = platform.connect(boot);
        const members = {
            recorded: () => undefined,
            isGone: () => false,
            onChange: () => () => {},
        };
        const once = createIdempotencyGuard({
            boot,
            platform: client,
            peers: network.connect(peer),
            members: members as unknown as Parameters<typeof createIdempotencyGuard>[0]["members"],
        });
        return { once, platform: client };
    });
    return { platform, entries };
}
