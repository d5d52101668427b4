package org.comfreywall.bench.mapswitch;

import java.util.function.Consumer;

/**
 * The conditions under which one map switch is measured.
 *
 * @param name the name under which results are printed
 * @param faults the policy for messages during the switch
 * @param prepare prepares the group before the switch is requested
 */
record SwitchScenario(String name, LinkPolicy faults, Consumer<SwitchWorld> prepare) {

}
