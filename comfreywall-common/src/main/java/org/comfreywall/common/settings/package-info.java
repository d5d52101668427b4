/**
 * The settings of one instance's daemon.
 */
package org.comfreywall.common.settings;
