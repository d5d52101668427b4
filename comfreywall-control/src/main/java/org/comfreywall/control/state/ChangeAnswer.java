package org.comfreywall.control.state;

/**
 * The answer to a configuration change or to a dry run of it.
 */
public sealed interface ChangeAnswer permits ChangeAccepted, ChangeConflict, ChangeRefused {

}
