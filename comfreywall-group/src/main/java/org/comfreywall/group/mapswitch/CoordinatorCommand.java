package org.comfreywall.group.mapswitch;

/**
 * A command that the coordinator returns to its driver.
 */
public sealed interface CoordinatorCommand permits WriteLedger, SendOrder, MembershipChanged, SwitchEnded, TermLost {

}
