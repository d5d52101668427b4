package org.comfreywall.control.state;

/**
 * The answer to a configuration change.
 */
public sealed interface ChangeAnswer permits ChangeAccepted, ChangeConflict, ChangeRefused {

}
