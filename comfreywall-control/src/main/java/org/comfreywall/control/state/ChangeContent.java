package org.comfreywall.control.state;

/**
 * The content of a configuration change: a difference or a rollback.
 */
public sealed interface ChangeContent permits ConfigurationDelta, Rollback {

}
