/**
 * Runs attempts on the backend server and keeps their state and answers.
 */
package org.comfreywall.sidecar.attempt;
