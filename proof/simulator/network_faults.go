package simulator

import "io"

// Disconnect resets the connections between two hosts.
//
//	network.Disconnect("10.0.0.1", "10.0.1.1")
func (network *Network) Disconnect(left, right string) {
	network.mutex.Lock()
	broken := []io.Closer{}
	for one := range network.endpoints {
		if (one.host == left && one.peer.host == right) || (one.host == right && one.peer.host == left) {
			broken = append(broken, one)
		}
	}
	network.mutex.Unlock()
	for _, one := range broken {
		one.Close()
	}
}

// RefuseConnections resets the connections between two hosts and refuses new ones, as a firewall
// that rejects does, until Heal.
//
//	network.RefuseConnections("10.0.0.1", "10.0.1.1")
func (network *Network) RefuseConnections(left, right string) {
	network.change(func() { network.refused[[2]string{left, right}], network.refused[[2]string{right, left}] = true, true })
	network.Disconnect(left, right)
}
