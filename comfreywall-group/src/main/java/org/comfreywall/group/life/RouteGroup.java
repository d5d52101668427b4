package org.comfreywall.group.life;

/**
 * Makes the group available to the entries as one backend server.
 */
public record RouteGroup() implements GroupCommand {

}
