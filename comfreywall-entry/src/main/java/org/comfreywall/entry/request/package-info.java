/**
 * The life of a caller's request at its entry.
 */
package org.comfreywall.entry.request;
