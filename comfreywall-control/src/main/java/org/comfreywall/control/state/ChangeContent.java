package org.comfreywall.control.state;

/**
 * What a configuration change consists of.
 */
public sealed interface ChangeContent permits ConfigurationDelta, Rollback {

}
