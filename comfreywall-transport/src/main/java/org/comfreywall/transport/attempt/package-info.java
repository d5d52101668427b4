/**
 * The stream protocol for attempts between entry and sidecar.
 */
package org.comfreywall.transport.attempt;
