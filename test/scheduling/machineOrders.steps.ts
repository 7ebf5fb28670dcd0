import { When } from "@cucumber/cucumber";
import type { MachineOrderFault } from "../../standins/scheduling";
import type { World } from "./world";

When("orders to machines are {string}", function(this: World, fault: MachineOrderFault) {
    this.world.machineOrderFault = fault;
});

When("orders to machines are well", function(this: World) {
    this.world.machineOrderFault = undefined;
});
