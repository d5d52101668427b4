package org.comfreywall.group.life;

/**
 * Time passed; sent several times within each timeout.
 */
public record GroupTick() implements GroupEvent {

}
