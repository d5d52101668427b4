package org.comfreywall.group.life;

/**
 * A command of the group life core to its driver.
 */
public sealed interface GroupCommand permits ChooseMember, ProbeMember, RouteGroup, WithdrawGroup, ReleaseMember {

}
