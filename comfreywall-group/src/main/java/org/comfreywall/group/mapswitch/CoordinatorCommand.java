package org.comfreywall.group.mapswitch;

/**
 * A command of the coordinator to its driver.
 */
public sealed interface CoordinatorCommand permits WriteLedger, SendOrder, MembershipChanged, SwitchEnded, TermLost {

}
