package org.comfreywall.group.life;

/**
 * Offers the group to the entries as one backend server.
 */
public record RouteGroup() implements GroupCommand {

}
