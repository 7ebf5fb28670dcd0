import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import type { Store } from "../store";
import type { MachineApi, MachineOrderer, MachineOrderResult } from "./machines";

/** Record of the orders to machines in the store, for the next leader. */
interface OrdersRecord {
    /** Time of the last order to each machine, milliseconds since 1970. */
    readonly orderedAtMs: Readonly<Record<string, number>>;
    /** Machines of each wave whose maintenance has certainly begun. */
    readonly waves: Readonly<Record<string, readonly string[]>>;
    /** When each wave was first seen, milliseconds since 1970. */
    readonly waveSeenAtMs?: Readonly<Record<string, number>>;
}

/** An order to a machine: a move to a pool, or maintenance for a wave. */
export type MachineOrder =
    | { readonly kind: "move"; readonly machine: string; readonly pool: string; }
    | { readonly kind: "maintain"; readonly machine: string; readonly wave: number; };

export interface MachineOrdersOptions {
    readonly store: Store;
    readonly machines: MachineApi;
    readonly tenure: Tenure;
    readonly orderer: MachineOrderer;
    readonly report: Reporter;
    /** Shortest time between an order to a machine by one leader and one by the next leader, in milliseconds. */
    readonly minHandoverMs: number;
}

export interface MachineOrders {
    /** Reads the record of earlier leaders; false where the store doesn't answer. */
    load(): Promise<boolean>;
    /** Whether an order of an earlier leader to this machine may still be in flight. */
    isBlocked(machine: string): boolean;
    /** Machines of a wave whose maintenance has certainly begun. */
    begun(wave: number): ReadonlySet<string>;
    /** When the wave was first seen, in milliseconds since 1970. Stored with the next orders. */
    waveSeenAtMs(wave: number): number;
    /** Records orders in the store, then sends them. Calls `onResult` for each order when it is answered. */
    send(
        orders: readonly MachineOrder[],
        onResult: (order: MachineOrder, result: MachineOrderResult) => void,
    ): Promise<void>;
}

export const machineOrdersKey = "samphirepin/machines";

/** Allowance for the clock skew between instances, in milliseconds. */
const clockSkewMs = 500;

/** Orders older than this are dropped from the record, in milliseconds. */
const keepMs = 60_000;

/**
 * Sends orders to machines, and records them in the store first: the next leader must not send an order to a machine right
 * after this one did. Maintenance counts as begun only once the platform has answered so. Otherwise a wave would be reported
 * as complete although an order was lost.
 */
export function createMachineOrders(opts: MachineOrdersOptions): MachineOrders {
    const { store, tenure } = opts;
    let orderedAtMs = new Map<string, number>();
    const waves = new Map<string, Set<string>>();
    const waveSeenAtMs = new Map<string, number>();
    const ownMachines = new Set<string>();
    let revision = 0;
    let writing = Promise.resolve(true);
    /** The write that follows the one in flight; `undefined` if none is due. */
    let nextWrite: Promise<boolean> | undefined;

    function encode(): string {
        const cutMs = Date.now() - keepMs;
        orderedAtMs = new Map([...orderedAtMs].filter(([, atMs]) => atMs > cutMs));
        const record: OrdersRecord = {
            orderedAtMs: Object.fromEntries(orderedAtMs),
            waves: Object.fromEntries([...waves].map(([wave, machines]) => [wave, [...machines]])),
            waveSeenAtMs: Object.fromEntries(waveSeenAtMs),
        };
        return JSON.stringify(record);
    }

    /**
     * Writes are sequential: each one depends on the revision that the one before has created. Orders that come during a
     * write share the next one. With a write for each, a store that takes longer than the pause between two decisions
     * would delay each order more than the one before it.
     */
    function save(): Promise<boolean> {
        nextWrite ??= writing.then(() => {
            nextWrite = undefined;
            writing = write();
            return writing;
        });
        return nextWrite;
    }

    async function write(): Promise<boolean> {
        const put = { key: machineOrdersKey, text: encode() };
        const result = await store.commit({
            conditions: [tenure.condition, { key: machineOrdersKey, revision }],
            puts: [put],
            deletes: [],
        });
        if (result.kind === "committed") {
            revision = result.revision;
            return true;
        }
        if (result.kind === "conflict") {
            // An earlier write of this leader got through although its answer was lost. The next write uses its revision.
            revision = result.items.find(({ key }) => key === machineOrdersKey)?.revision ?? 0;
        }
        return false;
    }

    /** Stored with the next orders. A leader that doesn't find it sends the order again, which is harmless. */
    function recordBegun(order: MachineOrder, result: MachineOrderResult): void {
        if (order.kind === "maintain" && result.kind === "done") {
            const key = String(order.wave);
            waves.set(key, (waves.get(key) ?? new Set()).add(order.machine));
        }
    }

    async function sendOne(order: MachineOrder): Promise<MachineOrderResult> {
        if (!tenure.isValid()) {
            return { kind: "notNow", detail: "the tenure has ended" };
        }
        const result = order.kind === "move"
            ? await opts.machines.move(order.machine, order.pool, opts.orderer)
            : await opts.machines.maintain(order.machine, order.wave, opts.orderer);
        opts.report({
            kind: "machineOrder",
            order: order.kind,
            machine: order.machine,
            target: order.kind === "move" ? order.pool : `wave ${order.wave}`,
            token: tenure.token,
            outcome: result.kind,
        });
        return result;
    }

    return {
        async load() {
            const result = await store.read(machineOrdersKey);
            if (result.kind === "unavailable") {
                return false;
            }
            if (result.kind === "found") {
                const record = JSON.parse(result.item.text) as OrdersRecord;
                revision = result.item.revision;
                Object.entries(record.orderedAtMs).forEach(([machine, atMs]) => orderedAtMs.set(machine, atMs));
                Object.entries(record.waveSeenAtMs ?? {}).forEach(([wave, atMs]) => waveSeenAtMs.set(wave, atMs));
                Object.entries(record.waves).forEach(([wave, machines]) => waves.set(wave, new Set(machines)));
            }
            return true;
        },
        isBlocked(machine) {
            const atMs = orderedAtMs.get(machine);
            return atMs !== undefined && !ownMachines.has(machine)
                && Date.now() - atMs < opts.minHandoverMs + clockSkewMs;
        },
        begun: (wave) => waves.get(String(wave)) ?? new Set(),
        waveSeenAtMs(wave) {
            const key = String(wave);
            const atMs = waveSeenAtMs.get(key) ?? Date.now();
            waveSeenAtMs.set(key, atMs);
            return atMs;
        },
        async send(orders, onResult) {
            orders.forEach(({ machine }) => orderedAtMs.set(machine, Date.now()));
            if (!await save()) {
                orders.forEach((order) =>
                    onResult(order, { kind: "notNow", detail: "the order could not be recorded in the store" })
                );
                return;
            }
            orders.forEach(({ machine }) => ownMachines.add(machine));
            await Promise.all(orders.map(async (order) => {
                const result = await sendOne(order);
                recordBegun(order, result);
                onResult(order, result);
            }));
        },
    };
}
