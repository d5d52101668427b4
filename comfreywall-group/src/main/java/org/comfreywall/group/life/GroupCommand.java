package org.comfreywall.group.life;

/**
 * A command that the group's lifecycle core returns to its driver.
 */
public sealed interface GroupCommand permits RequestAssignment, ProbeMember, RouteGroup, WithdrawGroup, ReleaseMember {

}
