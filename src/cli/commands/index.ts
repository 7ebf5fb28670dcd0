import type { DefinedCommand } from "../defineCommand";
import { confirm } from "./confirm";
import { credentialNew } from "./credentialNew";
import { day } from "./day";
import { entry } from "./entry";
import { explain } from "./explain";
import { follow } from "./follow";
import { keyGrant } from "./keyGrant";
import { keyWithdraw } from "./keyWithdraw";
import { machineTime } from "./machineTime";
import { plan } from "./plan";
import { planCancel, planPause, planResume } from "./planControl";
import { served } from "./served";
import { settings } from "./settings";
import { show } from "./show";

/** Every command, in the order of the root help. */
export const commands: readonly DefinedCommand[] = [
    entry,
    settings,
    plan,
    confirm,
    follow,
    planPause,
    planResume,
    planCancel,
    show,
    keyGrant,
    keyWithdraw,
    credentialNew,
    explain,
    machineTime,
    served,
    day,
];
