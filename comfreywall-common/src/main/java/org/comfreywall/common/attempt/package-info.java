/**
 * Messages about attempts between entry instances and sidecars.
 */
package org.comfreywall.common.attempt;
