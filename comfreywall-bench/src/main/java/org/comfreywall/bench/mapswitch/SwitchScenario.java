package org.comfreywall.bench.mapswitch;

import java.util.function.Consumer;

/**
 * One situation in which a switch is measured.
 *
 * @param name the situation's name
 * @param faults changes the links
 * @param prepare changes the group before the switch is requested
 */
record SwitchScenario(String name, LinkPolicy faults, Consumer<SwitchWorld> prepare) {

}
