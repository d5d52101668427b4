/**
 * Detection of slow ranks from step times, and advice on changing groups between prefill
 * and decode.
 */
package org.comfreywall.group.straggler;
