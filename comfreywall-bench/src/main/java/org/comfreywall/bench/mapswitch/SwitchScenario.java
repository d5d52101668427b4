package org.comfreywall.bench.mapswitch;

import java.util.function.Consumer;

/**
 * The conditions under which one map switch is measured.
 *
 * @param name the name under which results are printed
 * @param linkPolicy the policy for messages during the switch
 * @param prepare prepares the group before the switch is requested
 */
record SwitchScenario(String name, LinkPolicy linkPolicy, Consumer<SwitchSimulation> prepare) {

}
