package org.comfreywall.control.member;

import org.comfreywall.control.spread.Peer;
import org.comfreywall.control.spread.ProbeRequest;

/**
 * Asks one node to probe another.
 *
 * @param prober the node that is to probe
 * @param request the probe
 */
record ProbeOrder(Peer prober, ProbeRequest request) {

}
