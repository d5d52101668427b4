/**
 * Frames about attempts, between entries and sidecars.
 */
package org.comfreywall.transport.attempt;
