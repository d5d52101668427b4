/**
 * What entries and sidecars tell each other about attempts.
 */
package org.comfreywall.common.attempt;
