/**
 * Registry of the attempts that a sidecar has seen.
 */
package org.comfreywall.sidecar.attempt;
