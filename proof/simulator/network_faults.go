package simulator

import "io"

// Disconnect closes the connections between two hosts.
//
//	network.Disconnect("10.0.0.1", "10.0.1.1")
func (network *Network) Disconnect(left, right string) {
	network.mutex.Lock()
	closers := []io.Closer{}
	for endpoint := range network.endpoints {
		if (endpoint.host == left && endpoint.peer.host == right) || (endpoint.host == right && endpoint.peer.host == left) {
			closers = append(closers, endpoint)
		}
	}
	network.mutex.Unlock()
	for _, closer := range closers {
		closer.Close()
	}
}

// RefuseConnections closes the connections between two hosts and refuses new ones until Heal, like
// a firewall that rejects connections.
//
//	network.RefuseConnections("10.0.0.1", "10.0.1.1")
func (network *Network) RefuseConnections(left, right string) {
	network.update(func() { network.refused[[2]string{left, right}], network.refused[[2]string{right, left}] = true, true })
	network.Disconnect(left, right)
}
