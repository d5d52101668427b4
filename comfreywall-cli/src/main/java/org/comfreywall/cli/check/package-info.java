/**
 * Validation of settings, configurations and answers without a running fleet.
 */
package org.comfreywall.cli.check;
